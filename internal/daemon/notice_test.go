package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/hop"
)

// countingBackEnd answers as it is told to, and counts what it gets.
type countingBackEnd struct {
	got    atomic.Int64
	answer atomic.Pointer[http.HandlerFunc]
}

func (b *countingBackEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.got.Add(1)
	(*b.answer.Load())(w, r)
}

func (b *countingBackEnd) answers(answer http.HandlerFunc) { b.answer.Store(&answer) }

// replaceService puts a counting back end in the place of a service's.
func (f *fleet) replaceService(id string, answer http.HandlerFunc) *countingBackEnd {
	placed := &countingBackEnd{}
	placed.answers(answer)
	f.network.Close(addressOf(id, "back-end"))
	f.serveStandIn(id, placed)
	return placed
}

// loadService sends requests to the plain service for a while, and returns how many got which
// status.
func (f *fleet) loadService(span time.Duration) map[int]int {
	statuses := map[int]int{}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		got, err := f.call(f.t.Context(), http.MethodGet, "router-1", "/loans/plan", "", nil)
		if err != nil {
			got.status = 0
		}
		statuses[got.status]++
	}
	return statuses
}

func sayHello(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "hello") }

func asksForRest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// An agent went on sending to a back end that had asked for three seconds of rest.
func TestAgentLeavesABackEndAloneThatAsksForRest(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.NewRelaxed(f.t)
		resting := f.replaceService("service-1", asksForRest)
		f.loadService(500 * time.Millisecond)
		told := resting.got.Load()
		is.True(told >= 1)
		statuses := f.loadService(2 * time.Second)
		is.Equal(resting.got.Load(), told)
		is.Equal(len(statuses), 1) // the other back end serves them all
		is.True(statuses[http.StatusOK] > 0)
		resting.answers(sayHello)
		f.settle(time.Second)
		f.loadService(time.Second)
		is.True(resting.got.Load() > told) // it is used again
	})
}

// An agent went on sending to a back end whose answers said that it leaves.
func TestAgentOfABackEndThatSaysItLeavesTakesNothingNew(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.NewRelaxed(f.t)
		leaving := f.replaceService("service-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Leaving", "1")
			sayHello(w, r)
		})
		f.loadService(500 * time.Millisecond)
		told := leaving.got.Load()
		is.True(told >= 1)
		statuses := f.loadService(5 * time.Second)
		is.Equal(leaving.got.Load(), told)
		is.Equal(len(statuses), 1)
		is.True(statuses[http.StatusOK] > 0)
	})
}
