package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// TestSilenceIsJudgedByTimeKept: a process that runs late gives a stream that much
// more time, once for each silence.
func TestSilenceIsJudgedByTimeKept(t *testing.T) {
	cases := map[string]struct {
		lag, want time.Duration
	}{
		"in time": {0, time.Second},
		"late":    {700 * time.Millisecond, 1700 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				ended := make(chan time.Duration, 1)
				watch := &pauseWatch{
					limit: time.Second, lag: func() time.Duration { return c.lag },
					cancel: func() { ended <- time.Since(began) },
				}
				watch.start()
				is.Equal(<-ended, c.want)
			})
		})
	}
}

func TestEventEndsASilence(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := false
		watch := &pauseWatch{
			limit: time.Second, lag: func() time.Duration { return 500 * time.Millisecond },
			cancel: func() { ended = true },
		}
		watch.start()
		for range 5 {
			time.Sleep(1400 * time.Millisecond) // within the extension
			watch.reset()
		}
		watch.stop()
		is.True(!ended)
	})
}

func TestLagIsTheWorstOfTheLastSecond(t *testing.T) {
	is := is.New(t)
	meter := NewLagMeter(nil)
	meter.note(300*time.Millisecond, false)
	meter.note(5*time.Millisecond, true) // what timers have anyway
	is.Equal(meter.Lag(), 300*time.Millisecond)
	is.Equal(meter.Lasting(), time.Duration(0)) // it was late once
	for range lastingLooks {
		meter.note(200*time.Millisecond, false)
	}
	is.Equal(meter.Lasting(), 200*time.Millisecond)
	for range lagSlots {
		meter.note(0, true)
	}
	is.Equal(meter.Lag(), time.Duration(0))
}

func TestProcessThatKeepsTimeHasNoLag(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		done := make(chan struct{})
		told := 0
		go NewLagMeter(nil).Run(done, func(_, _ time.Duration) { told++ })
		time.Sleep(10 * time.Second)
		close(done)
		synctest.Wait()
		is.Equal(told, 0)
	})
}

// What a process doesn't know after it stood still it learns within a moment, for which
// decisions wait.
func TestDecisionsWaitAfterAStandstill(t *testing.T) {
	is := is.New(t)
	meter, now := NewLagMeter(nil), time.Now()
	is.Equal(meter.Unsettled(now), time.Duration(0)) // it has just started
	now = now.Add(standstill / 2)
	is.Equal(meter.Unsettled(now), time.Duration(0)) // runs late, but runs
	now = now.Add(standstill)
	is.Equal(meter.Unsettled(now), settleAfter)
	now = now.Add(settleAfter / 2)
	is.Equal(meter.Unsettled(now), settleAfter/2)
	now = now.Add(settleAfter / 2)
	is.Equal(meter.Unsettled(now), time.Duration(0))
}
