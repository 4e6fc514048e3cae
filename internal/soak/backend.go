package soak

import (
	"cmp"
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

// backEnd is a stand-in for an engine or a plain service. Its answers are a function of the
// request alone, so callers can verify that an answer belongs to their request.
type backEnd struct {
	fleet *fleet
	name  string
	// address is the listening address of its link, to which gateways send.
	address string
	zone    string
	link    *link
	// idleTime is how long it keeps an idle connection, which it states in its answers; 0 means always,
	// and it states nothing.
	idleTime time.Duration

	mutex sync.Mutex
	// idNumber is part of its ID. incarnation is the number of the current incarnation, which
	// rises with every start, also under the same ID, and born is that incarnation's start time.
	idNumber    int
	incarnation int
	born        time.Time
	leaving     bool
	// version is the version of its software, and defect the defect of that version.
	version string
	defect  versionDefect
	// coldUntil is the end of the current warm-up. starting is set until the current incarnation
	// is up.
	coldUntil time.Time
	starting  bool
	// lose, spoil, fail, refuse, rest, stall, silent, unframed, endless and odd count the active faults of each kind.
	lose, spoil, fail, refuse, rest, stall, silent, unframed, endless, odd int
	// turn counts the requests and selects the way in which an answer is spoiled.
	turn int
	// number is the position in the list of all back ends, and runs are the streams on which it works, by request.
	number int
	runs   map[string]*streamRun
}

const (
	// slots is the number of concurrent requests that a back end lists.
	slots = 8
	// plainWork is the processing time of a plain request. eventPause is the usual time between two
	// events of a stream.
	plainWork  = 30 * time.Millisecond
	eventPause = 25 * time.Millisecond
	// minEvents is the number of events of the shortest streams, and eventCounts the number of
	// different lengths.
	minEvents   = 4
	eventCounts = 12
)

// idleTimes are the idle times of back ends, by their number.
var idleTimes = []time.Duration{5 * time.Second, 0, 2 * time.Second, 60 * time.Second}

func (b *backEnd) id() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return fmt.Sprintf("%s-%d", b.name, b.idNumber)
}

// currentIncarnation returns the number of the current incarnation.
func (b *backEnd) currentIncarnation() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.incarnation
}

// nameOf returns the name of the back end with the ID.
func nameOf(id string) string { return id[:strings.LastIndexByte(id, '-')] }

// entry returns the back end's current entry for the store.
func (b *backEnd) entry() catalog.BackEnd {
	id := b.id()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return catalog.BackEnd{
		ID: id, Service: service, Address: b.address, Zone: b.zone, Slots: slots, Leaving: b.leaving,
		WarmUp: max(0, time.Until(b.coldUntil)), Born: b.born.UnixMilli(), Version: b.version,
	}
}

// isStarting returns whether the current incarnation isn't up yet.
func (b *backEnd) isStarting() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.starting
}

// changeFaults changes one of the counts of active faults.
func (b *backEnd) changeFaults(count func(*backEnd) *int, by int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	*count(b) += by
}

// behaviour is the set of faults that apply to one request.
type behaviour struct {
	lose, spoil, fail, refuse, rest, unframed, endless, odd bool
	turn                                                    int
}

// behaviour counts a request and returns the faults that apply to it.
func (b *backEnd) behaviour() behaviour {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn++
	return behaviour{lose: b.lose > 0, spoil: b.spoil > 0, fail: b.fail > 0, refuse: b.refuse > 0, rest: b.rest > 0, unframed: b.unframed > 0, endless: b.endless > 0, odd: b.odd > 0, turn: b.turn}
}

// ServeHTTP implements http.Handler.
func (b *backEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	protocol := b.fleet.environment.Protocol()
	forwarded := protocol.ReadForward(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if b.idleTime > 0 {
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%.0f", b.idleTime.Seconds()))
	}
	acts := b.behaviour()
	version, defect := b.software()
	arrival := arrival{
		request: forwarded.Request, backEnd: b.id(), zone: b.zone, version: version, at: time.Now(),
		tenant: forwarded.Tenant, resumed: forwarded.ResumeAfter != "", continued: forwarded.ContinueFrom != "",
	}
	b.awaitEndOfSilence(r.Context())
	if b.answerStopCall(w, r, body) {
		return
	}
	if forwarded.BackEnd != b.id() {
		protocol.WriteIdentity(w.Header(), b.id())
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
	if b.refuseWithoutCopy(w, forwarded) {
		b.fleet.check.arrived(arrival)
		return
	}
	arrival.ran = true
	arrival.changed = string(body) != bodyOf(streamOf(forwarded), r.Method)
	b.fleet.check.arrived(arrival)
	if cause := cmp.Or(crashingPartOf(forwarded.Prompt), crashingPathOf(r.URL.Path)); cause != "" {
		b.crashDuring(r, cause)
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
	case acts.lose && isStream(r.URL.Path) && b.fleet.options.Backups:
		b.answer(w, r, forwarded, eventsBeforeLoss)
	case acts.lose:
		sleep(r.Context(), plainWork)
		panic(http.ErrAbortHandler)
	case acts.fail:
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		w.WriteHeader(http.StatusInternalServerError)
	case acts.spoil:
		b.spoilAnswer(w, r, forwarded, acts.turn)
	case acts.endless:
		b.answerEndlessly(w, forwarded, acts.turn)
	case acts.odd:
		b.answerOddly(w, r, forwarded, acts.turn)
	case acts.unframed:
		b.answerUnframed(w, r, forwarded, acts.turn)
	default:
		b.answer(w, r, forwarded, 0)
	}
}

// answer sends the whole answer. That of a stream is lost after the given number of events, unless it is 0.
func (b *backEnd) answer(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, lostAfter int) {
	protocol := b.fleet.environment.Protocol()
	if isStream(r.URL.Path) {
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		b.stream(w, r, forwarded, lostAfter)
		return
	}
	sleep(r.Context(), plainWork)
	b.awaitEndOfSilence(r.Context())
	protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
	_, _ = io.WriteString(w, answerOf(forwarded.Request))
}

// spoilAnswer sends an invalid answer; turn selects in which way it is invalid.
func (b *backEnd) spoilAnswer(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, turn int) {
	protocol := b.fleet.environment.Protocol()
	switch turn % 3 {
	case 0: // an answer to another request
		protocol.WriteStamp(w.Header(), "another", b.id())
		_, _ = io.WriteString(w, answerOf("another"))
	case 1: // an answer to another request, without the stamp
		_, _ = io.WriteString(w, answerOf("another"))
	default: // a truncated answer
		protocol.WriteStamp(w.Header(), forwarded.Request, b.id())
		whole := answerOf(forwarded.Request)
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		_, _ = io.WriteString(w, whole[:len(whole)/2])
		panic(http.ErrAbortHandler)
	}
}

// stream writes the events after the last one that the caller has received. After lostAfter events it loses the answer and
// works on, unless lostAfter is 0.
func (b *backEnd) stream(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, lostAfter int) {
	ctx, end := b.beginRun(r.Context(), forwarded.Request)
	defer end()
	incarnation := b.currentIncarnation()
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	task := &streamWork{backEnd: b.id(), continued: forwarded.ContinueFrom != ""}
	target := b.fleet.backEndAt(forwarded.BackUpTo)
	if target != nil {
		task.backUpTo = target.name
	}
	b.fleet.check.workBegan(forwarded.Request, task)
	defer b.fleet.check.workEnded(task)
	first := 1
	if last, err := strconv.Atoi(forwarded.ResumeAfter); err == nil {
		first = last + 1
	}
	version, _ := b.software()
	last := eventsOf(streamOf(forwarded))
	for number := first; number <= last; number++ {
		sleep(ctx, b.fleet.eventPause())
		b.awaitEndOfStall(ctx)
		if ctx.Err() != nil {
			return
		}
		if lostAfter > 0 && task.events == lostAfter {
			loseAnswer(w)
			b.workOn(ctx, incarnation, task, last-number)
			return
		}
		if _, err := io.WriteString(w, eventOf(streamOf(forwarded), number, version)); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		task.events++
		if target != nil && b.fleet.writeCopy(target, b.address+"/"+forwarded.Request) {
			task.copied = true
		}
		task.whole = number == last
	}
}

// streamOf returns the ID of the attempt that began the stream of a request, which identifies the stream.
func streamOf(forwarded wire.Forwarded) string { return cmp.Or(forwarded.Resumes, forwarded.Request) }

// bodyOf returns the body of the request with the ID. answerOf, eventOf and eventsOf return its
// plain answer, the numbered event of its stream as a version writes it, and the stream's number of
// events.
func bodyOf(request, method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "question of " + request
}

func answerOf(request string) string { return "answer to " + request + ", whole\n" }

func eventOf(request string, number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s%s%s\n\n", number, number, request, versionMark, version)
}

// versionMark precedes the version in the data of an event.
const versionMark = " by "

func eventsOf(request string) int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, request)
	return minEvents + int(hash.Sum32()%eventCounts)
}
