package simulation

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// measure counts what the fleet does. The first part of a run warms up the
// caches and isn't counted.
type measure struct {
	s        *Simulation
	counting bool
	from     time.Time

	requests     int
	attempts     int
	routerStarts int
	refusals     map[failure.Kind]int
	givenUp      map[failure.Kind]int
	served       int
	// finalsWithRoom counts requests that were finally refused while a member
	// of their pool had room.
	givenUpWithRoom int
	returningTurns  int
	reusedTurns     int
	contextTokens   int
	cachedTokens    int
	tenantRequests  map[string]int
	tenantServed    map[string]int
	firstToken      *hdrhistogram.Histogram

	sent, received map[string]*traffic
	newsBytes      int
	platformCalls  map[int64]int
	skew           []skewSample
}

// traffic is a node's control traffic.
type traffic struct {
	messages int
	bytes    int
}

// skewSample is the spread of load over one pool at one moment.
type skewSample struct {
	peak float64
	p99  float64
}

func newMeasure(s *Simulation) *measure {
	const highestMicros = int64(10 * time.Minute / time.Microsecond)
	return &measure{
		s: s, refusals: map[failure.Kind]int{}, givenUp: map[failure.Kind]int{},
		tenantRequests: map[string]int{}, tenantServed: map[string]int{},
		firstToken: hdrhistogram.New(1, highestMicros, 3),
		sent:       map[string]*traffic{}, received: map[string]*traffic{}, platformCalls: map[int64]int{},
	}
}

// start begins to count.
func (m *measure) start() {
	m.counting = true
	m.from = m.s.loop.now
	m.s.loop.every(time.Second, time.Second, m.sampleSkew)
}

// frameOverhead is what a WebSocket frame adds to a message, in bytes.
const frameOverhead = 6

func (m *measure) controlSent(n *node, message coordination.Message) int {
	raw, err := message.Encode()
	if err != nil {
		return 0
	}
	size := len(raw) + frameOverhead
	m.count(m.sent, n.process.id, size)
	return size
}

func (m *measure) controlReceived(n *node, size int) { m.count(m.received, n.process.id, size) }

func (m *measure) count(table map[string]*traffic, id string, size int) {
	if !m.counting {
		return
	}
	if table[id] == nil {
		table[id] = &traffic{}
	}
	table[id].messages++
	table[id].bytes += size
}

func (m *measure) platformCall(now time.Time) {
	if m.counting {
		m.platformCalls[now.Unix()]++
	}
}

func (m *measure) requestStarted(r *request) {
	if m.counting {
		m.requests++
		m.tenantRequests[r.tenant]++
	}
}

// base64Growth is how much longer a header gets by its encoding.
const base64Growth = 4.0 / 3

func (m *measure) attemptSent(head hop.Head) {
	if !m.counting {
		return
	}
	m.attempts++
	if raw, err := cbor.Marshal(head.Piggyback); err == nil {
		m.newsBytes += int(base64Growth * float64(len(raw)))
	}
}

func (m *measure) attemptRefused(kind failure.Kind) {
	if m.counting {
		m.refusals[kind]++
	}
}

// fullKinds are the refusals that mean that the pool had no room.
var fullKinds = []failure.Kind{failure.OverBound, failure.QueueFull, failure.PoolExhausted}

func (m *measure) requestGivenUp(n *node, r *request, kind failure.Kind) {
	if !m.counting {
		return
	}
	m.givenUp[kind]++
	if r.key == "" && slices.Contains(fullKinds, kind) && m.s.pools[r.pool].hasRoom(n) {
		m.givenUpWithRoom++
	}
}

// started notes reuse: a returning turn finds its context cached if most of the
// context it had is there.
func (m *measure) runStarted(a *attempt) {
	r := a.request
	if !m.counting || r.chat == nil || r.chat.turns == 0 {
		return
	}
	m.returningTurns++
	m.contextTokens += r.chat.contextTokens
	m.cachedTokens += min(a.timing.cached, r.chat.contextTokens)
	if a.timing.cached >= r.chat.contextTokens {
		m.reusedTurns++
	}
}

func (m *measure) requestAnswered(r *request, o outcome) {
	if !m.counting || !o.served {
		return
	}
	m.served++
	m.tenantServed[r.tenant]++
	if r.chat != nil {
		_ = m.firstToken.RecordValue((m.s.loop.now.Sub(r.startedAt) - o.timing.total + o.timing.firstToken).Microseconds())
	}
}

// sampleSkew notes the spread of load in every engine pool.
func (m *measure) sampleSkew() {
	for _, name := range m.s.poolNames {
		p := m.s.pools[name]
		if name == servicePool {
			continue
		}
		var loads []int
		total := 0
		for _, member := range p.members {
			if isServing(member) {
				loads = append(loads, member.agent.Gate().Load())
				total += member.agent.Gate().Load()
			}
		}
		if total == 0 {
			continue
		}
		slices.Sort(loads)
		mean := float64(total) / float64(len(loads))
		m.skew = append(m.skew, skewSample{
			peak: float64(loads[len(loads)-1]) / mean,
			p99:  float64(loads[(len(loads)-1)*99/100]) / mean,
		})
	}
}
