package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// A process that runs late extends the limit of a stream's silence, and the time for the head of an answer,
// once by its lag.
func TestSilenceLimitIsExtendedOnceByLag(t *testing.T) {
	cases := map[string]struct {
		lag, want time.Duration
	}{
		"on time": {0, time.Second},
		"late":    {700 * time.Millisecond, 1700 * time.Millisecond},
	}
	starts := map[string]func(lag func() time.Duration, ended func()){
		"stream": func(lag func() time.Duration, ended func()) {
			silence := &silenceWatch{limit: time.Second, lag: lag, examine: func() (*relocation, time.Duration) { ended(); return &relocation{}, 0 }}
			silence.resume()
		},
		"head": func(lag func() time.Duration, ended func()) {
			timer := &headTimer{lag: lag, replace: func() (dispatch.Decision, bool, time.Duration) { ended(); return dispatch.Decision{}, true, 0 }}
			timer.start(time.Second)
		},
	}
	for name, c := range cases {
		for kind, start := range starts {
			t.Run(name+"/"+kind, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					is := is.New(t)
					began := time.Now()
					ended := make(chan time.Duration, 1)
					start(func() time.Duration { return c.lag }, func() { ended <- time.Since(began) })
					is.Equal(<-ended, c.want)
				})
			})
		}
	}
}

func TestEventResetsSilenceWatch(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		examined := false
		silence := &silenceWatch{
			limit: time.Second, lag: func() time.Duration { return 500 * time.Millisecond },
			examine: func() (*relocation, time.Duration) { examined = true; return &relocation{}, 0 },
		}
		silence.resume()
		for range 5 {
			time.Sleep(1400 * time.Millisecond) // within the extended limit
			is.True(silence.pause() == nil)
			silence.resume()
		}
		silence.pause()
		time.Sleep(10 * time.Second)
		is.True(!examined)
	})
}

func TestLagIsTheLargestDelayOfTheLastSecond(t *testing.T) {
	is := is.New(t)
	meter := NewLagMeter(nil)
	meter.record(300*time.Millisecond, false)
	meter.record(5*time.Millisecond, true) // the usual delay of timers
	is.Equal(meter.Lag(), 300*time.Millisecond)
	is.Equal(meter.SustainedLag(), time.Duration(0)) // it was late only once
	for range sustainedSamples {
		meter.record(200*time.Millisecond, false)
	}
	is.Equal(meter.SustainedLag(), 200*time.Millisecond)
	for range lagSlots {
		meter.record(0, true)
	}
	is.Equal(meter.Lag(), time.Duration(0))
}

func TestPunctualProcessReportsNoLag(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		done := make(chan struct{})
		reports := 0
		go NewLagMeter(nil).Run(done, func(_, _ time.Duration) { reports++ })
		time.Sleep(10 * time.Second)
		close(done)
		synctest.Wait()
		is.Equal(reports, 0)
	})
}

// After a pause, decisions wait for settleTime, in which the process reads what happened during
// the pause.
func TestDecisionsWaitAfterProcessPause(t *testing.T) {
	is := is.New(t)
	meter, now := NewLagMeter(nil), time.Now()
	is.Equal(meter.SettleWait(now), time.Duration(0)) // it has just started
	now = now.Add(pauseThreshold / 2)
	is.Equal(meter.SettleWait(now), time.Duration(0)) // late, but not paused
	now = now.Add(pauseThreshold)
	is.Equal(meter.SettleWait(now), settleTime)
	now = now.Add(settleTime / 2)
	is.Equal(meter.SettleWait(now), settleTime/2)
	now = now.Add(settleTime / 2)
	is.Equal(meter.SettleWait(now), time.Duration(0))
}
