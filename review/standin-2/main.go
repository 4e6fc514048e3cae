// Command standin-2 plays one case of the second review: a small deployment of the project's gateways as processes, with
// stand-ins of the platform's store, of runners and of clients.
package main

import (
	"fmt"
	"os"
)

// cases are the scripts, by name. Each gets its folder and whether the disruption is played.
var cases = map[string]func(dir string, trouble bool){
	"continued": playContinued,
	"unread":    playUnread,
	"departed":  playDeparted,
	"unheard":   playUnheard,
	"stuck":     playStuck,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
}
