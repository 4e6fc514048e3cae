package routing

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Health is what a router believes about a back end.
type Health uint8

// The values of Health, from best to worst.
const (
	// HealthAlive may be tried in the usual order.
	HealthAlive Health = iota
	// HealthFlapping is there but was lost several times of late: it isn't
	// given a chat to cache while a steadier member has room.
	HealthFlapping
	// HealthDoubtful is silent or unreachable: tried last.
	HealthDoubtful
	// HealthLeaving takes no new work and isn't tried.
	HealthLeaving
)

// Member is a router's view of one back end at one moment.
type Member struct {
	// ID is the back end.
	ID string
	// Health is what the router believes about it.
	Health Health
	// Incarnation is its agent's incarnation; 0 when unknown.
	Incarnation uint32
	// Load is the last heard load in requests, and LoadAge its age.
	Load int
	// LoadAge is the age of Load; LoadKnown is false when none was heard.
	LoadAge   time.Duration
	LoadKnown bool
}

// Policy decides the order in which a pool's back ends are tried. The product
// uses PolicyTokenThenHash; the others are baselines for measurement.
type Policy uint8

// The policies.
const (
	// PolicyTokenThenHash tries the engine that the chat token names, then the
	// rendezvous order.
	PolicyTokenThenHash Policy = iota
	// PolicyHash uses the rendezvous order alone.
	PolicyHash
	// PolicyRandom tries back ends in a random order.
	PolicyRandom
	// PolicyTwoChoices tries the less loaded of two random back ends first.
	PolicyTwoChoices
)

// Request is what the choice of a back end depends on.
type Request struct {
	// ChatKey spreads chats over the pool; it stays the same for a chat.
	ChatKey string
	// Token is the caller's chat token, or nil.
	Token *ChatToken
	// Owner is the only back end that may run the request, or "".
	Owner string
}

// LoadMet is the load that a refusing back end reported: evidence of the pool's
// load that travels with the next attempt.
type ReportedLoad struct {
	// BackEnd refused the request.
	BackEnd string `cbor:"1,keyasint"`
	// Load is its load in requests.
	Load int `cbor:"2,keyasint"`
	// AgeMillis is how long ago it refused, when the next attempt is sent.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Refusal is an agent's "not run".
type Refusal struct {
	// Kind says why.
	Kind failure.Kind
	// RetryAfter is when this back end may have room again; 0 when unknown.
	RetryAfter time.Duration
	// Load is the back end's load.
	Load int
}

// Attempt says where to send the request next.
type Attempt struct {
	// BackEnd is the target.
	BackEnd string
	// Affine is true when the target is believed to hold the chat's context,
	// or owns the request's key.
	Affine bool
	// LoadsMet is the evidence gathered so far.
	ReportedLoads []ReportedLoad
}

// Route is the routing state of one request. It gives one attempt at a time, and
// no back end twice but for one second look; see Next.
type Route struct {
	request       Request
	order         []Member
	tried         int
	reportedLoads []ReportedLoad
	reportedAt    []time.Time
	refusals      []Refusal
	// lookedAgain is set once a member got its second attempt.
	retriedLeastLoaded bool
}

// RandomSource is the part of math/rand/v2 that the baselines need.
type RandomSource interface {
	IntN(n int) int
}

// NewRoute orders the pool for a request. random is used by the random
// policies alone and may be nil otherwise.
func NewRoute(request Request, members []Member, policy Policy, random RandomSource) *Route {
	route := &Route{request: request}
	if request.Owner != "" {
		route.order = onlyOwner(request.Owner, members)
		return route
	}
	ordered := orderMembers(request, members, policy, random)
	route.order = byHealth(ordered)
	return route
}

func onlyOwner(owner string, members []Member) []Member {
	for _, member := range members {
		if member.ID == owner && member.Health != HealthLeaving {
			return []Member{member}
		}
	}
	return nil
}

func orderMembers(request Request, members []Member, policy Policy, random RandomSource) []Member {
	switch policy {
	case PolicyRandom:
		return shuffled(members, random)
	case PolicyTwoChoices:
		list := shuffled(members, random)
		if len(list) > 1 && list[1].Load < list[0].Load {
			list[0], list[1] = list[1], list[0]
		}
		return list
	case PolicyHash:
		return byRank(request.ChatKey, members)
	default:
		return tokenFirst(request.Token, byRank(request.ChatKey, members))
	}
}

func shuffled(members []Member, random RandomSource) []Member {
	list := append([]Member(nil), members...)
	for i := len(list) - 1; i > 0; i-- {
		j := random.IntN(i + 1)
		list[i], list[j] = list[j], list[i]
	}
	return list
}

func byRank(key string, members []Member) []Member {
	ids := make([]string, len(members))
	byID := make(map[string]Member, len(members))
	for i, member := range members {
		ids[i] = member.ID
		byID[member.ID] = member
	}
	list := make([]Member, 0, len(members))
	for _, id := range Rank(key, ids) {
		list = append(list, byID[id])
	}
	return list
}

// tokenFirst moves the token's engine to the front, unless its agent is known to
// have restarted since: its context is gone then, and the hash spreads better.
func tokenFirst(token *ChatToken, list []Member) []Member {
	if token == nil {
		return list
	}
	for i, member := range list {
		if member.ID != token.Engine {
			continue
		}
		if member.Incarnation != 0 && member.Incarnation != token.Incarnation {
			return list
		}
		copy(list[1:i+1], list[:i])
		list[0] = member
		return list
	}
	return list
}

// byHealth keeps the order within each degree of health and drops leaving
// members.
func byHealth(list []Member) []Member {
	ordered := make([]Member, 0, len(list))
	for _, health := range []Health{HealthAlive, HealthFlapping, HealthDoubtful} {
		for _, member := range list {
			if member.Health == health {
				ordered = append(ordered, member)
			}
		}
	}
	return ordered
}

// freshLoad is the age to which a heard load may reorder the later attempts.
const maxLoadAge = 2 * time.Second

// Next returns the next attempt; ok is false when every member was tried.
//
// The first attempt follows the policy alone, since a wrong guess about load
// would cost the chat its context. Later attempts have no context to win, so
// after the first refusal they go to members that are believed to have room.
//
// When all have refused or can't be reached, the least loaded one that was met is
// asked once more. It
// may have refused since it knew too little of the others to be sure of the
// bound; now the request brings what all the others carry.
func (r *Route) Next(now time.Time) (attempt Attempt, ok bool) {
	if r.tried >= len(r.order) {
		return r.retryLeastLoaded(now)
	}
	if len(r.reportedLoads) > 0 {
		r.promoteBest()
	}
	member := r.order[r.tried]
	r.tried++
	return Attempt{
		BackEnd:       member.ID,
		Affine:        r.isAffine(member),
		ReportedLoads: r.loadEvidence(now),
	}, true
}

func (r *Route) retryLeastLoaded(now time.Time) (Attempt, bool) {
	if r.retriedLeastLoaded || r.request.Owner != "" || len(r.reportedLoads) == 0 {
		return Attempt{}, false
	}
	r.retriedLeastLoaded = true
	least := 0
	for i, reported := range r.reportedLoads {
		if reported.Load < r.reportedLoads[least].Load {
			least = i
		}
	}
	evidence := r.loadEvidence(now)
	return Attempt{BackEnd: r.reportedLoads[least].BackEnd, ReportedLoads: slices.Delete(evidence, least, least+1)}, true
}

// evidence returns the loads met with their ages. The process may have been
// paused since.
func (r *Route) loadEvidence(now time.Time) []ReportedLoad {
	if len(r.reportedLoads) == 0 {
		return nil
	}
	evidence := slices.Clone(r.reportedLoads)
	for i := range evidence {
		evidence[i].AgeMillis = now.Sub(r.reportedAt[i]).Milliseconds()
	}
	return evidence
}

func (r *Route) isAffine(member Member) bool {
	if r.request.Owner != "" {
		return true
	}
	token := r.request.Token
	if token == nil || token.Engine != member.ID {
		return false
	}
	return member.Incarnation == 0 || member.Incarnation == token.Incarnation
}

// crowdedAttempts is the number of refusals after which the least loaded member
// is tried next instead of the next in rendezvous order.
const refusalsUntilLeastLoaded = 2

// preferRoom brings the best remaining member to the position to be tried next.
func (r *Route) promoteBest() {
	threshold := r.meanReportedLoad()
	best := r.tried
	// A flapping member that has room is better than a full steady one.
	for i := r.tried; i < len(r.order); i++ {
		if r.order[i].Health == HealthDoubtful && r.order[r.tried].Health != HealthDoubtful {
			break
		}
		if len(r.reportedLoads) < refusalsUntilLeastLoaded && r.hasRoom(r.order[i], threshold) {
			best = i
			break
		}
		if len(r.reportedLoads) >= refusalsUntilLeastLoaded && r.lessLoaded(r.order[i], r.order[best]) {
			best = i
		}
	}
	chosen := r.order[best]
	copy(r.order[r.tried+1:best+1], r.order[r.tried:best])
	r.order[r.tried] = chosen
}

func (r *Route) meanReportedLoad() float64 {
	total := 0
	for _, reported := range r.reportedLoads {
		total += reported.Load
	}
	return float64(total) / float64(len(r.reportedLoads))
}

func (r *Route) hasRoom(member Member, threshold float64) bool {
	if !member.LoadKnown || member.LoadAge > maxLoadAge {
		return true
	}
	return float64(member.Load) < threshold
}

func (r *Route) lessLoaded(a, b Member) bool {
	aKnown := a.LoadKnown && a.LoadAge <= maxLoadAge
	bKnown := b.LoadKnown && b.LoadAge <= maxLoadAge
	if aKnown != bKnown {
		return aKnown
	}
	return aKnown && a.Load < b.Load
}

// Refused notes a refusal of the latest attempt.
func (r *Route) Refused(now time.Time, backEnd string, refusal Refusal) {
	r.refusals = append(r.refusals, refusal)
	if refusal.Kind == failure.OverBound || refusal.Kind == failure.QueueFull {
		r.reportedLoads = append(r.reportedLoads, ReportedLoad{BackEnd: backEnd, Load: refusal.Load})
		r.reportedAt = append(r.reportedAt, now)
	}
}

// Attempts returns how many attempts were given.
func (r *Route) Attempts() int {
	if r.retriedLeastLoaded {
		return r.tried + 1
	}
	return r.tried
}

// IsExhausted tells whether Next has no attempt left, whatever comes of the
// latest.
func (r *Route) IsExhausted() bool { return r.retriedLeastLoaded }

// GiveUp returns the final answer of a request that no back end took. A sole
// refusal is passed on; otherwise the answer is PoolExhausted, with the
// shortest time after which a back end may have room.
func (r *Route) GiveUp() *failure.Error {
	if r.request.Owner != "" && len(r.refusals) == 0 {
		return failure.New(failure.OwnerAway, "the back end that owns this key can't be reached; this attempt was not run")
	}
	if len(r.refusals) == 0 {
		return failure.New(failure.BackendUnreachable, "no back end of the pool can be reached; the request was not run")
	}
	if r.request.Owner != "" || len(r.refusals) == 1 {
		sole := r.refusals[len(r.refusals)-1]
		return &failure.Error{Kind: sole.Kind, Message: "the back end did not take the request; it was not run", RetryAfter: sole.RetryAfter}
	}
	return &failure.Error{
		Kind:       failure.PoolExhausted,
		Message:    "no back end of the pool has room; the request was not run",
		RetryAfter: r.shortestRetryAfter(),
	}
}

func (r *Route) shortestRetryAfter() time.Duration {
	var shortest time.Duration
	for _, refusal := range r.refusals {
		if refusal.RetryAfter > 0 && (shortest == 0 || refusal.RetryAfter < shortest) {
			shortest = refusal.RetryAfter
		}
	}
	return shortest
}
