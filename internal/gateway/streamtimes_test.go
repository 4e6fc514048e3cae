package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Guards against a slow caller that looks like a back end that pauses, and against a pause that is lost
// when another back end goes on with the stream.
func TestStreamTimesAreThoseOfBackEnds(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	first := outcome{sentAt: at(100), send: dispatch.Send{Predicted: 80 * time.Millisecond}}
	second := outcome{sentAt: at(2300), send: dispatch.Send{Predicted: time.Second}}
	var times streamTimes
	times.arrived(at(250), first)
	times.passed(at(250))
	times.arrived(at(280), first)
	times.passed(at(2200)) // the caller took its time
	times.arrived(at(2600), second)
	times.passed(at(2600))
	times.arrived(at(2620), second)
	times.passed(at(2620))
	fields := logrus.Fields{}
	times.addTo(fields)
	is.Equal(fields, logrus.Fields{"first_token_ms": int64(150), "predicted_first_token_ms": int64(80), "longest_pause_ms": int64(400)})
}

// Guards against times of 0 ms in the log line of an answer that isn't a stream, and against a prediction
// of 0 ms for a stream that has none.
func TestStreamTimesAreLoggedOnlyOfStreams(t *testing.T) {
	is := is.New(t)
	fields := logrus.Fields{}
	(&streamTimes{}).addTo(fields)
	is.Equal(len(fields), 0)
	var times streamTimes
	times.arrived(time.Unix(2, 0), outcome{sentAt: time.Unix(1, 0)})
	times.addTo(fields)
	is.Equal(fields, logrus.Fields{"first_token_ms": int64(1000), "longest_pause_ms": int64(0)})
}
