package workload

import (
	"testing"
	"time"
)

// BenchmarkRun measures all calls for a request whose answer has one event after the first token.
func BenchmarkRun(b *testing.B) {
	e := NewEngine(testLimits, Rates{}, NewErrorRecord())
	now := start
	b.ReportAllocs()
	for b.Loop() {
		run := e.Begin(now, Work{Streams: 5}, Size{Unread: 900, Memory: 300, Output: 80})
		now = now.Add(25 * time.Millisecond)
		e.FirstToken(now, run)
		now = now.Add(60 * time.Millisecond)
		e.Progress(now, run, 14)
		e.End(now, run)
	}
}

// BenchmarkProgress measures one event of a stream.
func BenchmarkProgress(b *testing.B) {
	e := NewEngine(testLimits, Rates{}, nil)
	run := e.Begin(start, Work{Streams: 5}, Size{Unread: 900, Memory: 300, Output: 80})
	now := start.Add(25 * time.Millisecond)
	e.FirstToken(now, run)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(30 * time.Millisecond)
		e.Progress(now, run, 7)
	}
}

func BenchmarkBeginAndEnd(b *testing.B) {
	e := NewEngine(testLimits, Rates{}, NewErrorRecord())
	b.ReportAllocs()
	for b.Loop() {
		e.End(start, e.Begin(start, Work{Streams: 5}, Size{Unread: 900, Memory: 300, Output: 80}))
	}
}

func BenchmarkPredict(b *testing.B) {
	e := NewEngine(testLimits, Rates{}, nil)
	e.FirstToken(start.Add(25*time.Millisecond), e.Begin(start, Work{Streams: 5}, Size{Unread: 900, Memory: 300, Output: 80}))
	e.Begin(start, Work{}, Size{Unread: 5000, Memory: 300, Output: 80})
	now := start.Add(30 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		e.Predict(now, Work{Streams: 70, Unread: 5000, Memory: 60_000}, Size{Unread: 900, Memory: 300, Output: 80})
	}
}
