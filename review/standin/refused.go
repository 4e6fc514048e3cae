package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused-backup"] = refusedBackup }

const (
	// preemption is how long requests from elsewhere hold the memory of an engine.
	preemption = 2200 * time.Millisecond
	// maxLost is how many requests from kept connections may be lost.
	maxLost = 3
)

// refusedBackup lets an engine preempt its streams for 2.2 s, while the other engines have no room for
// copies. The engine is sound: it goes on with each stream. Their clients wait for that.
func refusedBackup(w *world) (broken bool, err error) {
	common := behaviour{drops: true, script: func(stream int) (length, hangAfter int) {
		if stream <= shortStreams*len(draftParts)*len(w.gateways) {
			return shortDraftEvents, 0
		}
		return chatEvents, 0
	}}
	if err := w.startBeanline(common); err != nil {
		return false, err
	}
	time.Sleep(contact)
	// For each of two parts of prompts each gateway gets a request that the part's engine answers with a 500,
	// two short streams and a long one, on one connection.
	var drafters []*drafter
	for _, part := range draftParts {
		for _, g := range w.gateways {
			d := w.connect(g)
			drafters = append(drafters, d)
			d.part = part
			w.forgetFailure(part)
			_, _ = d.draft(part)
			for range shortStreams {
				if status, err := d.draft(part); status != http.StatusOK || err != nil {
					w.record.notef("a short stream failed: status %d, %v", status, err)
				}
			}
		}
	}
	var lost, gaveUp int
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for _, each := range drafters {
		clients.Go(func() {
			status, err := each.draft(each.part)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case errors.Is(err, errGaveUp):
				gaveUp++
			case status == http.StatusOK && err != nil && each.answered > 0:
				lost++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	w.preempt()
	clients.Wait()
	for _, each := range drafters {
		each.close()
	}
	w.record.notef("requests from kept connections whose connection was closed without a complete answer, at a sound engine: %d (more than %d break the rule); clients that gave up: %d", lost, maxLost, gaveUp)
	return lost > maxLost, nil
}

// draftParts are shared parts of prompts, and shortStreams the short streams of each at a gateway.
var draftParts = []string{"5c1e07a2", "91bd3f06"}

const shortStreams = 2

// forgetFailure lets the engine of the part answer one more request with a 500 of its own.
func (w *world) forgetFailure(part string) {
	for _, e := range w.engines {
		e.mutex.Lock()
		delete(e.failed, part)
		e.mutex.Unlock()
	}
}

// preempt lets other callers of the engines of the parts take their memory for a while.
func (w *world) preempt() {
	if !w.trouble {
		return
	}
	for _, e := range w.engines {
		e.mutex.Lock()
		isChosen := len(e.failed) > 0
		e.mutex.Unlock()
		if !isChosen {
			continue
		}
		w.record.notef("other callers of %s take its memory for %v: it preempts its streams", e.id, preemption)
		e.setPreempted(1)
		time.AfterFunc(preemption, func() {
			e.setPreempted(-1)
			w.record.notef("%s has its memory back and goes on", e.id)
		})
	}
}
