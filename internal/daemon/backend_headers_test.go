package daemon

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/hop"
)

// countingBackEnd answers with a replaceable handler and counts the requests that it receives.
type countingBackEnd struct {
	received atomic.Int64
	handler  atomic.Pointer[http.HandlerFunc]
}

func (b *countingBackEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.received.Add(1)
	(*b.handler.Load())(w, r)
}

func (b *countingBackEnd) setHandler(answer http.HandlerFunc) { b.handler.Store(&answer) }

// replaceService replaces the back end of a service's agent by a counting one, and makes the other
// back ends of the pool answer at once.
func (f *fleet) replaceService(id string, answer http.HandlerFunc) *countingBackEnd {
	backEnd := &countingBackEnd{}
	backEnd.setHandler(answer)
	for _, service := range f.services {
		service.Delay = 0
	}
	f.network.Close(addressOf(id, "back-end"))
	f.serveStandIn(id, backEnd)
	return backEnd
}

// callPause is the pause between two calls of callServiceFor. Which of the two back ends a call goes to
// depends on its random ID. At this pause and with answers at once, half a second has 50 calls, and the
// chance that none of them goes to a given back end is below 1 in 10^15.
const callPause = 10 * time.Millisecond

// callServiceFor sends requests to the plain service for the given time and returns the number of
// answers by status; status 0 stands for calls without an answer.
func (f *fleet) callServiceFor(span time.Duration) map[int]int {
	statuses := map[int]int{}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(callPause) {
		got, err := f.call(f.t.Context(), http.MethodGet, "router-1", "/loans/plan", "", nil)
		if err != nil {
			got.status = 0
		}
		statuses[got.status]++
	}
	return statuses
}

func answerHello(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "hello") }

func answerRetryAfter(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// An agent must send nothing to a back end that answered 503 with Retry-After until that time has
// passed.
func TestAgentLeavesABackEndAloneThatAsksForRest(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.NewRelaxed(f.t)
		resting := f.replaceService("service-1", answerRetryAfter)
		f.callServiceFor(500 * time.Millisecond)
		before := resting.received.Load()
		is.True(before >= 1)
		statuses := f.callServiceFor(2 * time.Second)
		is.Equal(resting.received.Load(), before)
		is.Equal(len(statuses), 1) // the other back end serves all requests
		is.True(statuses[http.StatusOK] > 0)
		resting.setHandler(answerHello)
		f.advance(time.Second)
		f.callServiceFor(time.Second)
		is.True(resting.received.Load() > before) // it is used again
	})
}

// An agent must send no new requests to a back end whose answers carry the header X-Leaving.
func TestAgentOfLeavingBackEndGetsNoNewRequests(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.NewRelaxed(f.t)
		leaving := f.replaceService("service-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Leaving", "1")
			answerHello(w, r)
		})
		f.callServiceFor(500 * time.Millisecond)
		before := leaving.received.Load()
		is.True(before >= 1)
		statuses := f.callServiceFor(5 * time.Second)
		is.Equal(leaving.received.Load(), before)
		is.Equal(len(statuses), 1)
		is.True(statuses[http.StatusOK] > 0)
	})
}

// Guards against bytes of a back end that an agent takes for an answer: neither it nor the router passes them on.
func TestAgentPassesNoInvalidAnswerOn(t *testing.T) {
	for name, raw := range map[string]string{
		"blank in a name":      "HTTP/1.1 201 Created\r\nOdd Name: x\r\nContent-Length: 4\r\n\r\nbody",
		"blank before a colon": "HTTP/1.1 201 Created\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"status 099":           "HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, hop.HTTP1, func(f *fleet) {
				is := is.NewRelaxed(f.t)
				odd := f.replaceService("service-1", func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					_, _ = io.WriteString(conn, raw)
					_ = conn.Close()
				})
				statuses := f.callServiceFor(500 * time.Millisecond)
				is.True(odd.received.Load() > 0)
				is.True(statuses[http.StatusOK] > 0) // the other back end serves
				is.Equal(statuses[0]+statuses[http.StatusCreated], 0)
			})
		})
	}
}
