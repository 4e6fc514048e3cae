package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One stream of an engine is preempted while the others go on. Guards against an engine that works and gets
// no requests, because one of its streams was taken up elsewhere.
func TestEngineWhoseOtherStreamsGoOnIsNotEjected(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(1, 0)
	var streams []*Exchange
	for _, id := range []string{"a", "b"} {
		x, _ := core.Begin(start, longRequest(resumableStream(3), id))
		passEvents(core, start, x, 20)
		core.WatchStream(x)
		streams = append(streams, x)
	}
	core.SetBackEnds(start, backEnds(4, 64))
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		core.EventPassed(now, streams[1], 20*time.Millisecond, true)
	}
	decision, _ := core.ExamineSilence(now, streams[0])
	is.True(decision.Send != nil)
	core.Answered(now, streams[0], -1)
	core.TakeOver(now, streams[0])
	is.Equal(core.members["b00"].health.status(now), Healthy)
}

// All streams of an engine fall silent, each after its own last event. Guards against a moment of silence that
// counts as one failure for each of them.
func TestSilenceCountsOnceForStreamsThatEndedApart(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(1, 0)
	var streams []*Exchange
	now := start
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		x, _ := core.Begin(now, longRequest(resumableStream(3), id))
		passEvents(core, now, x, 20)
		core.WatchStream(x)
		streams = append(streams, x)
		now = now.Add(20 * time.Millisecond)
	}
	core.SetBackEnds(start, backEnds(4, 64))
	now = now.Add(time.Second)
	for _, x := range streams {
		decision, _ := core.ExamineSilence(now, x)
		is.True(decision.Send != nil)
		core.Answered(now, x, -1)
		core.TakeOver(now, x)
	}
	silent := core.members["b00"]
	is.Equal(silent.health.status(now), Ejected)
	is.Equal(silent.health.status(now.Add(baseEjectionTime)), OnTrial)
}
