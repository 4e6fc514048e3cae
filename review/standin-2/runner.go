package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one run of a request at a runner.
type run struct {
	id, runner, tenant, path string
	body                     string
	continues                string
	began, ended             time.Time
	outcome                  string
}

// engines is what all runners of a deployment have in common: their runs, and the copies of memory that they hold for each other.
type engines struct {
	mutex  sync.Mutex
	runs   []*run
	copies map[string]bool
}

func newEngines() *engines { return &engines{copies: map[string]bool{}} }

func (e *engines) begin(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.began = time.Now()
	e.runs = append(e.runs, r)
}

func (e *engines) end(r *run, outcome string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.ended, r.outcome = time.Now(), outcome
}

func (e *engines) setCopy(name string, exists bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.copies[name] = exists
}

func (e *engines) hasCopy(name string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.copies[name]
}

// byRequest returns the runs of each request.
func (e *engines) byRequest() map[string][]*run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := map[string][]*run{}
	for _, each := range e.runs {
		copied := *each
		list[each.id] = append(list[each.id], &copied)
	}
	return list
}

// plan is what a runner does with one request.
type plan struct {
	// events is the number of events of a stream, and pause the time before each; for another answer pause is its work.
	events int
	pause  time.Duration
	// size is the length of an answer that is no stream, or 0 for a short one. It is written in pieces.
	size int
	// loseAfter is the number of events after which the runner loses the answer: it closes the connection within it, and
	// works on the run to its end. 0 means never.
	loseAfter int
	// headFirst makes the runner answer before it reads the body, of which it reads on only after readPause.
	headFirst bool
	readPause time.Duration
}

// runner is a runner of a service.
type runner struct {
	id, service, address string
	slots                int
	// window is the size in bytes of the receive buffer of connections; 0 means the system's.
	window  int
	engines *engines
	record  *record
	// planOf decides what the runner does with a request.
	planOf   func(r *http.Request) plan
	active   atomic.Int64
	listener net.Listener
	// open are its connections.
	open sync.Map
}

// end ends the runner with all that it still works on.
func (r *runner) end() {
	r.record.say("%s ends", r.id)
	_ = r.listener.Close()
	r.open.Range(func(connection, _ any) bool {
		_ = connection.(net.Conn).Close()
		return true
	})
}

// serverEntry is what a runner writes about itself into the store.
func (r *runner) serverEntry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": r.slots, "state": state,
		"coldLeftMs": 0, "phase": "unified", "modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}}, "sequence": 1,
	}
}

func (r *runner) start() {
	listener, err := r.listen()
	must(err)
	r.listener, r.address = listener, listener.Addr().String()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(connection)
		}
	}()
}

// listen opens the listener. Its connections have a small window if the runner has one.
func (r *runner) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		if r.window == 0 {
			return nil
		}
		return socket.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.window)
		})
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// serve serves one request and closes the connection after it.
func (r *runner) serve(connection net.Conn) {
	r.open.Store(connection, true)
	defer r.open.Delete(connection)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := request.Header.Get(headerID)
	if expected := request.Header.Get(headerExpect); expected != r.id {
		r.refuse(connection, 421, id)
		return
	}
	if from := request.Header.Get(headerFrom); from != "" && !r.engines.hasCopy(r.address+"<"+from) {
		r.refuse(connection, 503, id)
		return
	}
	todo := r.planOf(request)
	if todo.headFirst {
		r.answerBeforeBody(connection, reader, request, todo)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.work(connection, reader, request, string(body), todo)
}

func (r *runner) refuse(connection net.Conn, status int, id string) {
	fmt.Fprintf(connection, "HTTP/1.1 %d Refused\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, headerID, id, headerNotRun, headerInstance, r.id)
}

func (r *runner) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n%s: %d,0,%d\r\nConnection: close\r\n", headerID, id, headerStamp, r.id, headerLoad, r.active.Load(), r.slots)
}

// work runs a request and answers it.
func (r *runner) work(connection net.Conn, reader *bufio.Reader, request *http.Request, body string, todo plan) {
	header := request.Header
	this := &run{id: header.Get(headerID), runner: r.id, tenant: header.Get(headerTenant), path: request.RequestURI, body: body, continues: header.Get(headerFrom)}
	r.engines.begin(this)
	r.active.Add(1)
	defer r.active.Add(-1)
	first, _ := strconv.Atoi(header.Get(headerLast))
	copied := ""
	if target := header.Get(headerBackup); target != "" {
		copied = target + "<" + r.address + "/" + this.id
		r.engines.setCopy(copied, true)
	}
	r.record.say("%s runs %s%s%s", r.id, this.id, given(" for the copy of ", this.continues), given(" backed up to ", header.Get(headerBackup)))
	if todo.events == 0 {
		time.Sleep(todo.pause)
		r.engines.end(this, r.writeAnswer(connection, this.id, todo.size))
		return
	}
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		close(closed)
	}()
	fmt.Fprintf(connection, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head(this.id))
	isLost := false
	for i := first + 1; i <= todo.events; i++ {
		if !isLost {
			select {
			case <-closed:
				r.engines.end(this, "dropped with its connection")
				r.record.say("%s drops %s after event %d: its connection is closed", r.id, this.id, i-1)
				return
			case <-time.After(todo.pause):
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, this.id)
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		} else {
			time.Sleep(todo.pause)
		}
		if i == todo.loseAfter {
			r.record.say("%s loses the answer of %s after event %d: it closes the connection and works on", r.id, this.id, i)
			_ = connection.Close()
			isLost = true
		}
	}
	if isLost {
		r.engines.end(this, "run to its end, answer lost")
		r.record.say("%s has run %s to its end; its answer is lost", r.id, this.id)
		return
	}
	if copied != "" {
		r.engines.setCopy(copied, false)
	}
	fmt.Fprint(connection, "0\r\n\r\n")
	r.engines.end(this, "whole")
}

const (
	pieceBytes = 16 << 10
	pieceTime  = 2 * time.Millisecond
)

// writeAnswer writes an answer that is no stream, and returns its outcome.
func (r *runner) writeAnswer(connection net.Conn, id string, size int) string {
	text := "answer of " + id
	text += strings.Repeat(".", max(0, size-len(text)))
	fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n", r.head(id), len(text))
	for at := 0; at < len(text); at += pieceBytes {
		if _, err := io.WriteString(connection, text[at:min(at+pieceBytes, len(text))]); err != nil {
			return "its connection failed: " + err.Error()
		}
		if size > 0 {
			time.Sleep(pieceTime)
		}
	}
	r.record.say("%s has sent its whole answer to %s, %d bytes", r.id, id, len(text))
	return "whole"
}

func given(text, value string) string {
	if value == "" {
		return ""
	}
	return text + value
}

// answerBeforeBody begins to answer a stream before it has read the body, and reads on later.
func (r *runner) answerBeforeBody(connection net.Conn, reader *bufio.Reader, request *http.Request, todo plan) {
	id := request.Header.Get(headerID)
	this := &run{id: id, runner: r.id, tenant: request.Header.Get(headerTenant), path: request.RequestURI}
	r.engines.begin(this)
	r.active.Add(1)
	defer r.active.Add(-1)
	r.record.say("%s runs %s; it reads its body later", r.id, id)
	whole := make(chan int64, 1)
	go func() {
		time.Sleep(todo.readPause)
		count, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			count = -1
		}
		r.record.say("%s has read the body of %s: %d bytes, error %v", r.id, id, count, err)
		whole <- count
	}()
	fmt.Fprintf(connection, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head(id))
	for i := 1; i <= todo.events; i++ {
		time.Sleep(todo.pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.engines.end(this, "its connection failed: "+err.Error())
			r.record.say("%s can't send event %d of %s: %v", r.id, i, id, err)
			return
		}
	}
	fmt.Fprint(connection, "0\r\n\r\n")
	r.engines.end(this, "whole")
	<-whole
}
