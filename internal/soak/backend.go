package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// backEnd is a stand-in of an engine or plain service. Its answers can be reckoned
// from the request alone, so callers can tell whether one is their own.
type backEnd struct {
	fleet *fleet
	name  string
	// address is its link's, where gateways send to.
	address string
	zone    string
	link    *link

	mutex sync.Mutex
	// incarnation is part of its ID, and life rises with every start, also under the same
	// ID. born is when this life began.
	idNumber    int
	incarnation int
	born        time.Time
	leaving     bool
	// version is that of its software, and ill is what is wrong with it.
	version string
	defect  versionDefect
	// coldUntil is when this incarnation is warm, and starting is set until it is up.
	coldUntil time.Time
	starting  bool
	// lose, spoil, fail, refuse and rest count the faults that ask for it.
	lose, spoil, fail, refuse, rest int
	// turn picks a way to spoil an answer.
	turn int
}

const (
	// slots is what a back end tells of its size.
	slots = 8
	// plainWork is how long a plain answer takes, and eventPause the time between
	// two events of a stream.
	plainWork  = 30 * time.Millisecond
	eventPause = 25 * time.Millisecond
	// fewestEvents and moreEvents bound the length of a stream.
	minEvents   = 4
	eventCounts = 12
)

func (b *backEnd) id() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return fmt.Sprintf("%s-%d", b.name, b.idNumber)
}

// lifeNow returns the number of the life of the moment.
func (b *backEnd) currentIncarnation() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.incarnation
}

// nameOf returns the name of the back end with an incarnation.
func nameOf(id string) string { return id[:strings.LastIndexByte(id, '-')] }

// entry returns what the store lists.
func (b *backEnd) entry() catalog.BackEnd {
	id := b.id()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return catalog.BackEnd{
		ID: id, Service: service, Address: b.address, Zone: b.zone, Slots: slots, Leaving: b.leaving,
		WarmUp: max(0, time.Until(b.coldUntil)), Born: b.born.UnixMilli(), Version: b.version,
	}
}

// isStarting tells whether this incarnation isn't up yet.
func (b *backEnd) isStarting() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.starting
}

// misbehave changes one of the counts of faults.
func (b *backEnd) changeFaults(count func(*backEnd) *int, by int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	*count(b) += by
}

// behaviour is what the back end does with one request.
type behaviour struct {
	lose, spoil, fail, refuse, rest bool
	turn                            int
}

func (b *backEnd) behaviour() behaviour {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn++
	return behaviour{lose: b.lose > 0, spoil: b.spoil > 0, fail: b.fail > 0, refuse: b.refuse > 0, rest: b.rest > 0, turn: b.turn}
}

// ServeHTTP implements http.Handler.
func (b *backEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	protocol := b.fleet.environment.Protocol()
	forwarded := protocol.ReadForward(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	acts := b.behaviour()
	version, defect := b.software()
	arrival := arrival{
		request: forwarded.Request, backEnd: b.id(), zone: b.zone, version: version, at: time.Now(),
		tenant: forwarded.Tenant, resumed: forwarded.ResumeAfter != "",
	}
	if forwarded.BackEnd != b.id() {
		protocol.WriteNotRun(w.Header(), forwarded.Request)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.writeNotices(w.Header(), forwarded)
	if acts.rest {
		b.fleet.check.arrived(arrival)
		b.refuseWithRetryAfter(w, forwarded)
		return
	}
	if acts.refuse {
		b.fleet.check.arrived(arrival)
		protocol.WriteNotRun(w.Header(), forwarded.Request)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	arrival.ran = true
	arrival.changed = string(body) != bodyOf(forwarded.Request, r.Method)
	b.fleet.check.arrived(arrival)
	if isCrashing(r.URL.Path) {
		b.crashDuring(r)
	}
	if defect.affects(forwarded.Request, arrival.at) {
		b.fleet.check.versionFailed(version)
		acts.fail = true
	}
	b.run(w, r, forwarded, acts)
}

func (b *backEnd) run(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, acts behaviour) {
	protocol := b.fleet.environment.Protocol()
	switch {
	case acts.lose:
		sleep(r.Context(), plainWork)
		panic(http.ErrAbortHandler)
	case acts.fail:
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		w.WriteHeader(http.StatusInternalServerError)
	case acts.spoil:
		b.spoilAnswer(w, r, forwarded, acts.turn)
	case isStream(r.URL.Path):
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		b.stream(w, r, forwarded)
	default:
		sleep(r.Context(), plainWork)
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		_, _ = io.WriteString(w, answerOf(forwarded.Request))
	}
}

// spoilAnswer sends what isn't the answer, in one of a few ways.
func (b *backEnd) spoilAnswer(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, turn int) {
	protocol := b.fleet.environment.Protocol()
	switch turn % 3 {
	case 0: // an answer to another request
		protocol.WriteStamp(w.Header(), "another", b.id())
		_, _ = io.WriteString(w, answerOf("another"))
	case 1: // an answer without its mark
		_, _ = io.WriteString(w, answerOf("another"))
	default: // an answer that is cut short
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		whole := answerOf(forwarded.Request)
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		_, _ = io.WriteString(w, whole[:len(whole)/2])
		panic(http.ErrAbortHandler)
	}
}

// stream writes the events after the one that the caller has.
func (b *backEnd) stream(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(forwarded.ResumeAfter); err == nil {
		first = last + 1
	}
	for number := first; number <= eventsOf(forwarded.Request); number++ {
		sleep(r.Context(), eventPause)
		if _, err := io.WriteString(w, eventOf(forwarded.Request, number)); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}

// bodyOf, answerOf, eventOf and eventsOf are what a request with an ID consists of
// and is answered with.
func bodyOf(request, method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "question of " + request
}

func answerOf(request string) string { return "answer to " + request + ", whole\n" }

func eventOf(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, request)
}

func eventsOf(request string) int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, request)
	return minEvents + int(hash.Sum32()%eventCounts)
}
