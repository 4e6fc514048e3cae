package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// The head of an answer arrives at the moment at which the wait for it ends, in a process that runs late.
// Guards against an answer that is cut off after its head, by a timer that is extended after it was stopped.
func TestStoppedHeadTimerEndsNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		firing, stopped := make(chan struct{}), make(chan struct{})
		ended := false
		lag := func() time.Duration {
			select {
			case firing <- struct{}{}:
			case <-stopped:
			}
			<-stopped
			return 50 * time.Millisecond
		}
		timer := &headTimer{lag: lag, replace: func() (dispatch.Decision, bool, time.Duration) { ended = true; return dispatch.Decision{}, true, 0 }}
		timer.start(time.Second)
		<-firing
		timer.stop()
		close(stopped)
		time.Sleep(time.Second)
		is.True(!ended)
	})
}

// The timer of a silence fires late, after an event that arrived at the same moment. Guards against a stream
// that is examined although its back end isn't silent.
func TestLateTimerOfEarlierSilenceExaminesNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		examined := false
		silence := &silenceWatch{limit: time.Second, examine: func() (*relocation, time.Duration) { examined = true; return nil, time.Second }}
		silence.resume()
		time.Sleep(900 * time.Millisecond)
		silence.pause()
		silence.resume()
		silence.fire() // of the earlier silence
		silence.pause()
		is.True(!examined)
	})
}
