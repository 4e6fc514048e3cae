package origins

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

var start = time.Unix(1_800_000_000, 0)

const (
	// streamTimeout is the timeout of the route, and step the resolution of the simulation.
	streamTimeout = 8 * time.Second
	step          = 10 * time.Millisecond
	// recordDelay is the longest time until a record has arrived at another gateway, and listDelay until
	// all gateways know of a change of back ends.
	recordDelay = 50 * time.Millisecond
	listDelay   = 500 * time.Millisecond
	// shortestStream and longestStream bound the time until a stream is interrupted.
	shortestStream = 100 * time.Millisecond
	longestStream  = 1500 * time.Millisecond
)

// simulatedGateway is the core of a gateway with its knowledge.
type simulatedGateway struct {
	Gateway
	core *dispatch.Core
	// lag is how much later than others it learns of back ends, and applied how many lists it has learned.
	lag     time.Duration
	applied int
	killed  bool
}

// simulatedStream is a stream that a gateway passes on.
type simulatedStream struct {
	id          string
	gateway     *simulatedGateway
	exchange    *dispatch.Exchange
	version     string
	interruptAt time.Time
}

// simulatedFleet is the cores of all gateways, without a network: records and lists arrive late.
type simulatedFleet struct {
	random   *rand.Rand
	gateways []*simulatedGateway
	live     []Gateway
	route    *catalog.Route
	// lists are the lists of back ends by the time of the change.
	lists   []timedList
	streams []simulatedStream
	// inTransit are the records that haven't arrived.
	inTransit []transit

	begun, refusedNew, resumed, refused, crossed int
}

type timedList struct {
	at       time.Time
	backEnds []catalog.BackEnd
}

type transit struct {
	at     time.Time
	to     string
	record dispatch.OriginRecord
}

// mixedList returns 24 back ends, of which the last replaced run another version. A version has an ID of its
// own for each of its back ends.
func mixedList(version, other string, replaced int) []catalog.BackEnd {
	list := make([]catalog.BackEnd, 24)
	for i := range list {
		running := version
		if i >= len(list)-replaced {
			running = other
		}
		list[i] = catalog.BackEnd{
			ID: fmt.Sprintf("b%02d-%s", i, running), Service: "s", Address: fmt.Sprintf("10.1.0.%d:1", i), Zone: "z", Slots: 1000, Version: running,
		}
	}
	return list
}

func newSimulatedFleet(seed uint64, gateways int) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), live: fleetOf(gateways)}
	f.route = &catalog.Route{
		Name: "chat", Targets: []catalog.Target{{Service: "s", Weight: 1}}, Stream: true, Resumable: true, Timeout: streamTimeout, MaxAttempts: 2,
		Objective: 400 * time.Millisecond,
	}
	for _, each := range f.live {
		config := dispatch.DefaultConfig()
		config.Zone = "z"
		g := &simulatedGateway{Gateway: each, core: dispatch.New(config), lag: time.Duration(f.random.Int64N(int64(listDelay)))}
		g.core.SetGateways(gateways)
		g.core.SetRoutes(start, []catalog.Route{*f.route})
		f.gateways = append(f.gateways, g)
	}
	return f
}

// learn gives every gateway the lists that it knows by now.
func (f *simulatedFleet) learn(now time.Time) {
	for _, g := range f.gateways {
		for g.applied < len(f.lists) && !now.Before(f.lists[g.applied].at.Add(g.lag)) {
			g.core.SetBackEnds(now, f.lists[g.applied].backEnds)
			g.applied++
		}
	}
}

// deliver takes the new records of all gateways, and hands over those that have arrived.
func (f *simulatedFleet) deliver(now time.Time) {
	for _, g := range f.gateways {
		if g.killed {
			continue
		}
		for _, record := range g.core.TakeOrigins() {
			for _, holder := range holders(record.Key, g.ID, f.live) {
				f.inTransit = append(f.inTransit, transit{at: now.Add(time.Duration(f.random.Int64N(int64(recordDelay)))), to: holder.ID, record: record})
			}
		}
	}
	var waiting []transit
	for _, each := range f.inTransit {
		if now.Before(each.at) {
			waiting = append(waiting, each)
		} else if g := f.find(each.to); !g.killed {
			g.core.KeepOrigins(now, []dispatch.OriginRecord{each.record})
		}
	}
	f.inTransit = waiting
}

func (f *simulatedFleet) find(id string) *simulatedGateway {
	for _, g := range f.gateways {
		if g.ID == id {
			return g
		}
	}
	return nil
}

// pick returns a random gateway that runs.
func (f *simulatedFleet) pick() *simulatedGateway {
	for {
		if g := f.gateways[f.random.IntN(len(f.gateways))]; !g.killed {
			return g
		}
	}
}

// begin sends a request through a gateway, and returns whether its stream has begun, and its version.
func (f *simulatedFleet) begin(now time.Time, g *simulatedGateway, request dispatch.Request) (*dispatch.Exchange, string, bool) {
	request.Route, request.Deadline = f.route, now.Add(streamTimeout)
	x, decision := g.core.Begin(now, request)
	if decision.Send == nil {
		g.core.Done(now, x)
		return nil, "", false
	}
	g.core.Answered(now, x, -1)
	g.core.EventPassed(now, x, 0, true)
	return x, decision.Send.BackEnd.Version, true
}

func (f *simulatedFleet) beginStream(now time.Time, id string) {
	g := f.pick()
	x, version, ok := f.begin(now, g, dispatch.Request{ID: id})
	if !ok {
		f.refusedNew++
		return
	}
	f.begun++
	life := shortestStream + time.Duration(f.random.Int64N(int64(longestStream-shortestStream)))
	f.streams = append(f.streams, simulatedStream{id: id, gateway: g, exchange: x, version: version, interruptAt: now.Add(life)})
}

// interrupt breaks the streams off whose time has come, and those of killed gateways. Their callers resume
// them at other gateways.
func (f *simulatedFleet) interrupt(now time.Time) {
	var open []simulatedStream
	for _, each := range f.streams {
		if !each.gateway.killed && now.Before(each.interruptAt) {
			open = append(open, each)
			continue
		}
		if !each.gateway.killed {
			each.gateway.core.Done(now, each.exchange)
		}
		f.resume(now, each)
	}
	f.streams = open
}

func (f *simulatedFleet) resume(now time.Time, broken simulatedStream) {
	g := f.pick()
	question := dispatch.OriginQuestion{Key: dispatch.OriginKeyOf("", broken.id), Route: f.route.Name, Service: "s"}
	own := g.core.AnswerOrigin(now, question, listDelay)
	asked := candidates(question.Key, g.ID, f.live)
	var answers []dispatch.OriginAnswer
	for _, peer := range asked {
		if other := f.find(peer.ID); !other.killed {
			answers = append(answers, other.core.AnswerOrigin(now, question, listDelay))
		}
	}
	origin, source := dispatch.ResolveOrigin(question, own, answers, len(asked))
	if source == dispatch.OriginUnknown {
		f.refused++
		return
	}
	x, version, ok := f.begin(now, g, dispatch.Request{ID: broken.id + "-2", Resumes: broken.id, Origin: &origin})
	if !ok {
		f.refused++
		return
	}
	g.core.Done(now, x)
	f.resumed++
	if version != broken.version {
		f.crossed++
	}
}

// Guards against streams that callers take up at a version that didn't begin them, and against resumption
// that is refused more often than needed: at least half of the streams must go on, as many of the new ones
// as begin. A release replaces one version by another, and a tenth of the gateways, or one, is killed at each
// of three moments in it.
func TestStreamsGoOnAtTheirVersionThroughARelease(t *testing.T) {
	for _, gateways := range []int{1, 5, 22, 340} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			is := is.New(t)
			f := newSimulatedFleet(7, gateways)
			f.lists = []timedList{{start, mixedList("v1", "v2", 0)}}
			release := start.Add(streamTimeout + 3*time.Second)
			for replaced := 2; replaced <= 24; replaced += 2 {
				f.lists = append(f.lists, timedList{release.Add(time.Duration(replaced) * 250 * time.Millisecond), mixedList("v1", "v2", replaced)})
			}
			kills := []time.Time{release.Add(600 * time.Millisecond), release.Add(2 * time.Second), release.Add(4 * time.Second)}
			number := 0
			for now := start.Add(listDelay); now.Before(release.Add(8 * time.Second)); now = now.Add(step) {
				f.learn(now)
				if len(kills) > 0 && !now.Before(kills[0]) {
					kills = kills[1:]
					for range min(gateways-1, max(1, gateways/10)) {
						f.pick().killed = true
					}
				}
				f.interrupt(now)
				if now.After(release.Add(-2 * time.Second)) {
					for range 3 {
						number++
						f.beginStream(now, fmt.Sprint("stream-", number))
					}
				}
				f.deliver(now)
			}
			t.Logf("%d begun, %d refused; %d resumed, %d refused, %d at another version", f.begun, f.refusedNew, f.resumed, f.refused, f.crossed)
			is.Equal(f.crossed, 0)
			is.True(f.resumed > 1000)
			beginShare := float64(f.begun) / float64(f.begun+f.refusedNew)
			resumeShare := float64(f.resumed) / float64(f.resumed+f.refused)
			is.True(resumeShare >= beginShare/2)
		})
	}
}
