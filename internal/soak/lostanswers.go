package soak

import (
	"context"
	"net/http"
)

// A back end with Options.Backups that loses the answer of a stream ends its connection within the stream and works on
// the run. Most back ends accept the call that stops it.

const (
	// eventsBeforeLoss is the number of events that a back end sends before it loses the answer.
	eventsBeforeLoss = 3
	// stopRejecters is the number of back ends of which one rejects the call that stops a run.
	stopRejecters = 3
	// movedPrefix begins the ID of memory that was moved.
	movedPrefix = "moved-"
)

// streamRun is a stream on which a back end works.
type streamRun struct {
	// stop ends the work, and ended is closed once it has ended.
	stop  context.CancelFunc
	ended chan struct{}
}

// beginRun records that the back end begins to work on a stream. The context is cancelled by a call that stops the run; the
// caller calls end when the work has ended.
func (b *backEnd) beginRun(ctx context.Context, request string) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	begun := &streamRun{stop: cancel, ended: make(chan struct{})}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.runs[request] = begun
	return ctx, func() {
		cancel()
		close(begun.ended)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if b.runs[request] == begun {
			delete(b.runs, request)
		}
	}
}

// runOf returns the run of the request, or nil.
func (b *backEnd) runOf(request string) *streamRun {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs[request]
}

// answerStopCall answers the call that stops a run, and reports whether the request is one that this back end knows.
func (b *backEnd) answerStopCall(w http.ResponseWriter, r *http.Request, body []byte) bool {
	protocol := b.fleet.environment.Protocol()
	call, ok := protocol.ReadStopCall(r, body)
	if !ok || b.number%stopRejecters == 0 {
		return false
	}
	copyID := ""
	if found := b.runOf(call.Request); found != nil {
		found.stop()
		<-found.ended
		copyID = movedPrefix + call.Request
		if target := b.fleet.backEndAt(call.Target); target != nil {
			b.fleet.writeCopy(target, b.address+"/"+copyID)
		}
	}
	protocol.WriteStopAnswer(w, copyID)
	return true
}

// loseAnswer ends the connection of an answer.
func loseAnswer(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// workOn works on a stream whose answer is lost, for the events that are left, unless the incarnation ends.
func (b *backEnd) workOn(ctx context.Context, incarnation int, task *streamWork, left int) {
	for range left {
		sleep(ctx, b.fleet.eventPause())
		if ctx.Err() != nil || b.currentIncarnation() != incarnation {
			return
		}
	}
	task.whole = true
}
