package routing

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Health is a router's assessment of a back end.
type Health uint8

// The values of Health, from best to worst.
const (
	// HealthAlive back ends are tried in the usual order.
	HealthAlive Health = iota
	// HealthFlapping back ends are reachable but were lost several times recently. One of
	// them is tried first only if no back end is alive. After a refusal, one may be tried
	// before alive members that are believed to be full or more loaded.
	HealthFlapping
	// HealthDoubtful back ends are silent or unreachable and are tried last.
	HealthDoubtful
	// HealthLeaving back ends accept no new work and are not tried.
	HealthLeaving
)

// Member is a router's view of one back end at one moment.
type Member struct {
	// ID is the back end's ID.
	ID string
	// Health is the router's assessment of it.
	Health Health
	// Incarnation is its agent's incarnation, or 0 if unknown.
	Incarnation uint32
	// Load is the last reported load in requests.
	Load int
	// LoadAge is the age of Load. LoadKnown is false if no load was reported.
	LoadAge   time.Duration
	LoadKnown bool
}

// Policy decides the order in which a pool's back ends are tried. Routers use
// PolicyTokenThenHash; the others are baselines for measurements.
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

// Request holds what the choice of a back end depends on.
type Request struct {
	// ChatKey is the hash key that determines the rendezvous order. It is constant for a chat.
	ChatKey string
	// Token is the caller's chat token, or nil.
	Token *ChatToken
	// Owner is the only back end that may run the request, or "".
	Owner string
}

// ReportedLoad is the load that a back end reported when it refused the request. It
// is sent along with the next attempt as evidence of the pool's load.
type ReportedLoad struct {
	// BackEnd is the back end that refused the request.
	BackEnd string `cbor:"1,keyasint"`
	// Load is its load in requests.
	Load int `cbor:"2,keyasint"`
	// AgeMillis is the time from the refusal until the next attempt is sent.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Refusal is an agent's reply that it did not run the request.
type Refusal struct {
	// Kind is the reason.
	Kind failure.Kind
	// RetryAfter is the time until this back end may have room; 0 if unknown.
	RetryAfter time.Duration
	// Load is the back end's load.
	Load int
}

// Attempt is the next attempt to make.
type Attempt struct {
	// BackEnd is the target.
	BackEnd string
	// Affine is true if the target is expected to hold the chat's context, or owns the
	// request's idempotency key.
	Affine bool
	// ReportedLoads are the loads reported by earlier refusals.
	ReportedLoads []ReportedLoad
}

// Route is the routing state of one request. It returns one attempt at a time. Each
// back end is tried once, except that one of them may be retried; see Next.
type Route struct {
	request       Request
	order         []Member
	tried         int
	reportedLoads []ReportedLoad
	reportedAt    []time.Time
	refusals      []Refusal
	// retriedLeastLoaded is set once a member got a second attempt.
	retriedLeastLoaded bool
}

// RandomSource is the part of math/rand/v2.Rand that the baseline policies need.
type RandomSource interface {
	IntN(n int) int
}

// NewRoute orders the pool for a request. Only the random policies use random; it
// may be nil for the others.
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

// tokenFirst moves the token's engine to the front. If that engine's agent is known
// to have restarted since, the chat's context is lost. The list then keeps its
// rendezvous order, which spreads such chats over the pool instead of sending them all
// to that engine.
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

// byHealth sorts the members by health, keeping the order of those with equal
// health, and drops members that are leaving.
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

// maxLoadAge is the largest age at which a reported load may reorder later attempts.
const maxLoadAge = 2 * time.Second

// Next returns the next attempt; ok is false if there is none.
//
// The first attempt follows the policy and the members' health. Loads don't change
// that order, because a wrong guess about load would cost the chat its context. Later
// attempts can't preserve the context, so once a member has refused for lack of room,
// they prefer members that are believed to have room.
//
// When all members have been tried, the least loaded of those that refused for lack
// of room is tried once more. It may have refused only because it knew too little of
// the other loads to be sure of its bound; this time the request carries the loads of
// the others that refused.
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

// loadEvidence returns the reported loads with their current ages, which may be long
// if the process was paused in between.
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

// refusalsUntilLeastLoaded is the number of refusals after which the least loaded
// member is tried next, instead of the next one in order that is believed to have room.
const refusalsUntilLeastLoaded = 2

// promoteBest moves the best remaining member to the next position. Doubtful members
// are considered only when no others remain.
func (r *Route) promoteBest() {
	threshold := r.meanReportedLoad()
	best := r.tried
	// A flapping member that has room is better than a full alive one.
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

// Refused records a refusal of the last attempt. The load is evidence for later attempts
// if the back end refused for lack of room.
func (r *Route) Refused(now time.Time, backEnd string, refusal Refusal) {
	r.refusals = append(r.refusals, refusal)
	if refusal.Kind == failure.OverBound || refusal.Kind == failure.QueueFull {
		r.reportedLoads = append(r.reportedLoads, ReportedLoad{BackEnd: backEnd, Load: refusal.Load})
		r.reportedAt = append(r.reportedAt, now)
	}
}

// Attempts returns the number of attempts returned so far.
func (r *Route) Attempts() int {
	if r.retriedLeastLoaded {
		return r.tried + 1
	}
	return r.tried
}

// IsExhausted reports whether the least loaded member has had its second attempt. Next
// then returns no further attempt, regardless of the outcome of that one.
func (r *Route) IsExhausted() bool { return r.retriedLeastLoaded }

// GiveUp returns the final error for a request that no back end accepted. The refusal
// of the owner of its key, or the only refusal, is passed on. After several refusals,
// the error is PoolExhausted, with the shortest time after which a back end may have
// room. Without any refusal, it is OwnerAway for a request with an owner, and
// BackendUnreachable for any other.
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
