package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

const (
	// operatorCrashes is the number of back ends that must have crashed under a part before the operators expect
	// that it is withheld, partContact the time after that in which all gateways must know, and allowedLateSends
	// how often the part may reach back ends afterwards.
	operatorCrashes  = 5
	partContact      = 3 * time.Second
	allowedLateSends = 3
	// crashDowntime is how long a crashed back end of a crashFleet is down.
	crashDowntime = 3 * time.Second
	// The delays between gateways, as in internal/relay: fleets up to crashFullMesh are connected completely and send
	// changes at once; larger ones send them to the gateways at doubling distances, after up to crashBatchDelay.
	crashFullMesh   = 10
	crashBatchDelay = 100 * time.Millisecond
	crashHopDelay   = 2 * time.Millisecond
	crashPeriod     = 200 * time.Millisecond
	crashMaxPeriod  = time.Second
	crashRecords    = 128
	// The answers of back ends: the time to the first event, the time between events and their number.
	minFirstEvent, maxFirstEvent = 60 * time.Millisecond, 160 * time.Millisecond
	crashEventGap                = 60 * time.Millisecond
	crashEvents                  = 8
	badPart                      = "bad"
)

// crashLoad is what callers send to a crashFleet, in requests per second.
type crashLoad struct {
	sound, bad float64
	// parts is the number of second parts of the sound requests.
	parts int
}

// crashFleet simulates gateways with their cores, which exchange crash records, and back ends that crash when they
// begin to write an answer to a prompt with badPart, on a virtual clock.
type crashFleet struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	sequence int
	cores    []*Core
	// cursors are the positions up to which crash records were sent on a link, announced the changes for which each
	// gateway has scheduled messages, and pending the links with a scheduled message.
	cursors   map[[2]int]uint64
	announced []uint64
	pending   map[[2]int]bool
	list      []catalog.BackEnd
	backEnds  map[string]*crashingBackEnd // by address
	restarts  int
	load      crashLoad
	requests  []*crashRequest
	crashedAt []time.Time // by the part
	badSends  []time.Time
	// mended is set once back ends no longer crash.
	mended bool
	// acceptsWhileDown is set if the address of a back end that is down accepts connections and breaks them off.
	acceptsWhileDown bool
	// repeated is the content of all bad requests, which then have no part in common; 0 if they are all different.
	repeated Fingerprint
}

// crashingBackEnd is the process that runs at an address, or none while it is down.
type crashingBackEnd struct {
	id       string
	down     bool
	requests []*crashRequest
}

// crashRequest is one request of a caller.
type crashRequest struct {
	gateway   int
	bad       bool
	at        time.Time
	x         *Exchange
	backEnd   *crashingBackEnd
	attempt   int
	answered  bool
	parts     []Part
	refusedAs failure.Kind
	// began is set once the answer has begun, and beganAtFirst if that was the first attempt.
	began, beganAtFirst, refused bool
}

func newCrashFleet(seed uint64, gateways, backEndCount int) *crashFleet {
	f := &crashFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, cursors: map[[2]int]uint64{}, pending: map[[2]int]bool{},
		announced: make([]uint64, gateways), list: backEnds(backEndCount, 6), backEnds: map[string]*crashingBackEnd{},
	}
	for i := range f.list {
		f.list[i].Zone = fmt.Sprint("z", i%3)
		f.backEnds[f.list[i].Address] = &crashingBackEnd{id: f.list[i].ID}
	}
	var ids []string
	for i := range gateways {
		ids = append(ids, fmt.Sprint("g", i))
	}
	period := max(crashPeriod, min(crashPeriod*time.Duration(gateways)/30, crashMaxPeriod))
	for i := range gateways {
		core := newCore(f.list)
		core.SetGateways(gateways)
		others := slices.Delete(slices.Clone(ids), i, i+1)
		core.SetFleet(start.Add(-time.Minute), Fleet{Self: ids[i], Known: others, HasSeeds: gateways > 1})
		f.cores = append(f.cores, core)
		f.schedule(period*time.Duration(i)/time.Duration(gateways), func() { f.sendPeriodically(i, period) })
	}
	return f
}

func (f *crashFleet) schedule(after time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{at: f.now.Add(after), sequence: f.sequence, run: run})
}

// links returns the gateways that a gateway sends to.
func (f *crashFleet) links(gateway int) []int {
	count := len(f.cores)
	var peers []int
	step := func(distance int) int { return distance + 1 }
	if count > crashFullMesh {
		step = func(distance int) int { return 2 * distance }
	}
	for distance := 1; distance < count; distance = step(distance) {
		peers = append(peers, (gateway+distance)%count, (gateway+count-distance)%count)
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

func (f *crashFleet) sendPeriodically(gateway int, period time.Duration) {
	for _, peer := range f.links(gateway) {
		f.sendRecords(gateway, peer)
	}
	f.schedule(period, func() { f.sendPeriodically(gateway, period) })
}

// sendRecords sends the crash records that the peer lacks.
func (f *crashFleet) sendRecords(from, to int) {
	link := [2]int{from, to}
	delete(f.pending, link)
	records, next := f.cores[from].CrashesSince(f.now, f.cursors[link], crashRecords)
	f.cursors[link] = next
	if len(records) > 0 {
		f.schedule(crashHopDelay, func() {
			f.cores[to].MergeCrashes(f.now, records)
			f.announce(to)
		})
	}
}

// announce schedules messages to the peers if the gateway's crash records have changed.
func (f *crashFleet) announce(gateway int) {
	changes := f.cores[gateway].CrashChanges()
	if changes == f.announced[gateway] {
		return
	}
	f.announced[gateway] = changes
	for _, peer := range f.links(gateway) {
		link := [2]int{gateway, peer}
		if f.pending[link] {
			continue
		}
		f.pending[link] = true
		delay := time.Duration(0)
		if len(f.cores) > crashFullMesh {
			delay = time.Duration(f.random.Int64N(int64(crashBatchDelay)))
		}
		f.schedule(delay, func() { f.sendRecords(gateway, peer) })
	}
}

// simulate runs the fleet for the time under the load.
func (f *crashFleet) simulate(span time.Duration, load crashLoad) {
	until := f.now.Add(span)
	f.load = load
	f.scheduleArrivals(load.sound, until, f.soundRequest)
	f.scheduleArrivals(load.bad, until, f.badRequest)
	for len(f.events) > 0 && f.events[0].at.Before(until) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = until
}

func (f *crashFleet) scheduleArrivals(rate float64, until time.Time, arrive func()) {
	if rate <= 0 {
		return
	}
	wait := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	if f.now.Add(wait).Before(until) {
		f.schedule(wait, func() {
			arrive()
			f.scheduleArrivals(rate, until, arrive)
		})
	}
}

func (f *crashFleet) soundRequest() {
	first := Part{ID: fmt.Sprint("first", f.random.IntN(3)), Tokens: 300}
	second := Part{ID: fmt.Sprint("second", f.random.IntN(f.load.parts)), Tokens: 200}
	f.begin(false, first, second)
}

// badRequest sends a request with badPart, behind the same first part as sound requests or behind two of their parts.
func (f *crashFleet) badRequest() {
	if f.repeated != 0 {
		f.begin(true)
		return
	}
	parts := []Part{{ID: "first0", Tokens: 300}, {ID: "second0", Tokens: 200}, {ID: badPart, Tokens: 100}}
	if f.random.IntN(2) == 0 {
		parts = slices.Delete(parts, 1, 2)
	}
	f.begin(true, parts...)
}

// begin sends a request of its own content with the shared parts through a random gateway.
func (f *crashFleet) begin(bad bool, shared ...Part) *crashRequest {
	id := fmt.Sprint("r", len(f.requests))
	r := &crashRequest{gateway: f.random.IntN(len(f.cores)), bad: bad, at: f.now, parts: append(shared, Part{ID: id, Tokens: 50})}
	f.requests = append(f.requests, r)
	route := repeatable(2)
	route.Stream, route.Resumable = true, true
	made := request(route, id, r.parts...)
	made.Deadline = f.now.Add(8 * time.Second)
	made.Tenant = "tenant"
	content := Fingerprint(f.random.Uint64())
	if bad && f.repeated != 0 {
		content = f.repeated
	}
	made.Fingerprints = func() []Fingerprint { return []Fingerprint{content} }
	x, decision := f.cores[r.gateway].Begin(f.now, made)
	r.x = x
	f.follow(r, decision)
	return r
}

// follow carries out a decision of the request's gateway.
func (f *crashFleet) follow(r *crashRequest, decision Decision) {
	f.announce(r.gateway)
	if decision.Send == nil {
		if decision.GiveUp != nil {
			r.refused, r.refusedAs = true, decision.GiveUp.Kind
		}
		f.cores[r.gateway].Done(f.now, r.x)
		return
	}
	r.attempt++
	r.answered = false
	core, backEnd := f.cores[r.gateway], f.backEnds[decision.Send.BackEnd.Address]
	switch {
	case backEnd.down && f.acceptsWhileDown:
		f.schedule(time.Millisecond, func() { f.follow(r, core.ConnectionLost(f.now, r.x)) })
		return
	case backEnd.down:
		f.schedule(time.Millisecond, func() { f.follow(r, core.NotConnected(f.now, r.x)) })
		return
	case backEnd.id != decision.Send.BackEnd.ID:
		f.schedule(time.Millisecond, func() { f.follow(r, core.Misdirected(f.now, r.x)) })
		return
	}
	if r.bad {
		f.badSends = append(f.badSends, f.now)
	}
	r.backEnd = backEnd
	backEnd.requests = append(backEnd.requests, r)
	attempt := r.attempt
	wait := minFirstEvent + time.Duration(f.random.Int64N(int64(maxFirstEvent-minFirstEvent)))
	f.schedule(wait, func() {
		if r.attempt == attempt && r.backEnd == backEnd {
			f.writeFirst(r, attempt)
		}
	})
}

// writeFirst begins the answer, or crashes the back end.
func (f *crashFleet) writeFirst(r *crashRequest, attempt int) {
	core := f.cores[r.gateway]
	if r.bad && !f.mended {
		if f.random.IntN(2) == 0 { // it crashes behind the head
			core.Answered(f.now, r.x, -1)
			r.answered = true
		}
		f.crashedAt = append(f.crashedAt, f.now)
		f.crash(r.backEnd)
		return
	}
	core.Answered(f.now, r.x, -1)
	r.answered = true
	if !r.began {
		r.began, r.beganAtFirst = true, r.attempt == 1
	}
	f.writeEvent(r, attempt, 1)
}

func (f *crashFleet) writeEvent(r *crashRequest, attempt, number int) {
	if r.attempt != attempt || r.backEnd == nil {
		return
	}
	core := f.cores[r.gateway]
	core.EventPassed(f.now, r.x, crashEventGap, true)
	f.announce(r.gateway)
	if number < crashEvents {
		f.schedule(crashEventGap, func() { f.writeEvent(r, attempt, number+1) })
		return
	}
	r.backEnd.requests = slices.DeleteFunc(r.backEnd.requests, func(each *crashRequest) bool { return each == r })
	r.backEnd = nil
	core.Completed(r.x)
	core.Done(f.now, r.x)
	f.announce(r.gateway)
}

// lateSends returns how often bad requests reached back ends later than partContact after the crash from which on
// operators allow only few: the fifth under a part, the third under a content.
func (f *crashFleet) lateSends() int {
	enough := operatorCrashes
	if f.repeated != 0 {
		enough = crashesToWithhold
	}
	if len(f.crashedAt) < enough {
		return 0
	}
	count := 0
	for _, at := range f.badSends {
		if at.After(f.crashedAt[enough-1].Add(partContact)) {
			count++
		}
	}
	return count
}

// beganAtFirst returns the share of the sound requests since the time whose answer began at the first attempt, and
// withheld how many were refused as withheld.
func (f *crashFleet) beganAtFirst(since time.Time) (share float64, withheld int) {
	total, began := 0, 0
	for _, r := range f.requests {
		if r.bad || r.at.Before(since) || r.at.After(f.now.Add(-time.Second)) {
			continue
		}
		total++
		if r.beganAtFirst {
			began++
		}
		if r.refused && r.refusedAs == failure.Withheld {
			withheld++
		}
	}
	return float64(began) / float64(total), withheld
}

// badBegan returns the share of the requests with badPart since the time whose answer began.
func (f *crashFleet) badBegan(since time.Time) float64 {
	total, began := 0, 0
	for _, r := range f.requests {
		if r.bad && !r.at.Before(since) && r.at.Before(f.now.Add(-time.Second)) {
			total++
			if r.began {
				began++
			}
		}
	}
	return float64(began) / float64(total)
}
