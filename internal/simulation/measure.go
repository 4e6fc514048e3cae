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

// measure collects the measurements of a run. The first part of a run, the warm-up, only
// fills the caches and isn't counted.
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
	// givenUpWithRoom counts the requests without a key that were finally refused for
	// lack of room although a member of their pool had room.
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

// traffic is the control traffic of one node in one direction.
type traffic struct {
	messages int
	bytes    int
}

// skewSample is the load skew of one pool at one time: the highest and the 99th percentile
// load, as multiples of the mean.
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

// start starts the measurements.
func (m *measure) start() {
	m.counting = true
	m.from = m.s.loop.now
	m.s.loop.every(time.Second, time.Second, m.sampleSkew)
}

// frameOverhead is the overhead of a WebSocket frame, in bytes.
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

// base64Growth is the factor by which base64 lengthens a header.
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

// fullKinds are the failures that mean that the pool had no room.
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

// runStarted counts the reuse of cached contexts. A returning turn counts as reused if the
// whole context of the chat's earlier turns is cached.
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

// sampleSkew records the load skew of every engine pool.
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
