// Standin plays one case of the review: it starts gateways as separate processes with the
// command and the settings template of the deploy file, serves the platform's store and the
// runners of a small deployment on loopback addresses, sends the clients' requests, and judges
// what clients and runners saw.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// cases maps the name of a case to the function that plays it and returns its verdict.
var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	// The gateways end with the thread that started them, if this process is killed.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", ".", "the folder for record.txt")
	temporary := flag.String("temporary", "", "a folder for settings and logs")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *folder, *temporary, *trouble))
}

func play(name, folder, temporary string, trouble bool) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	w := &world{record: record, folder: temporary, trouble: trouble, store: newStore()}
	defer w.stop()
	broken, err := run(w)
	switch {
	case err != nil:
		record.notef("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	case broken:
		record.notef("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		record.notef("verdict: the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
