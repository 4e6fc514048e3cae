package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check that misses sound requests which are refused with the crashing ones.
func TestSoundRequestsThatAreRefusedBreakThePromise(t *testing.T) {
	is := is.New(t)
	const part = crashingPartPrefix + "0"
	for _, refused := range []bool{false, true} {
		c := newChecker(nil)
		start := c.started
		c.gatewayStarts["g0"] = start.Add(-time.Minute)
		send := func(s sentRequest, at time.Duration, status int) {
			s.request, s.gateway, s.prefix, s.at = fmt.Sprint("r", len(c.order)), "g0", prefixStream, start.Add(at)
			c.sent(s)
			c.replies[s.request] = reply{at: s.at, status: status, events: 1}
		}
		for range partCrashesToDetect {
			c.crashes[part] = append(c.crashes[part], start.Add(10*time.Second))
		}
		for i := range minSound {
			send(sentRequest{key: "key-1", parts: []string{"1"}}, time.Second, 200)
			status := 200
			if refused && i%3 > 0 {
				status = 503
			}
			send(sentRequest{key: "key-1", parts: []string{"1"}}, 10*time.Second+soundDelay+time.Second, status)
		}
		send(sentRequest{key: "key-2", parts: []string{"1", part}, crashes: part}, 20*time.Second, 503)
		c.judgeSound()
		is.Equal(c.counts[PromiseSound] > 0, refused)
	}
}

func TestCrashingPartIsNeverTheLast(t *testing.T) {
	is := is.New(t)
	is.Equal(crashingPartOf("1:400,dead2:400,x1:50"), "dead2")
	is.Equal(crashingPartOf("dead2:400,1:400,x1:50"), "dead2")
	is.Equal(crashingPartOf("1:400,dead2:50"), "")
	is.Equal(crashingPartOf(""), "")
}
