package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

func openRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now()}
}

func (r *record) say(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.lines, "%8.3f s  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.lines, format+"\n", values...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
