package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Phase is where an exchange stands.
type Phase uint8

// The phases of an exchange.
const (
	// Received: no attempt is under way.
	Received Phase = iota
	// Sent: an attempt waits for its answer.
	Sent
	// Answering: an answer is passed on.
	Answering
	// Ended: the caller has its final answer, or left.
	Ended
)

// Exchange is one request on its way. The methods of Core drive it.
type Exchange struct {
	request Request
	service string
	phase   Phase
	// attempts counts back ends that may have received the request.
	attempts int
	// connects counts connections that could not be made.
	failedConnects int
	tried          []string
	current        *member
	// sentAt is when the current attempt began.
	sentAt time.Time
	// ran is what is known of all attempts so far.
	ran failure.Ran
	// side is the version that may take the next attempt while the service is moved to another
	// one, and run is the current attempt as the judge of the move follows it.
	side           rollout.Side
	rolloutAttempt *rollout.Run
	// worked is set once the current attempt is off the back end's load.
	slotReleased bool
	// settled is set once the current attempt doesn't wait for the back end any more.
	waitEnded bool
	// whole is set once the caller has a whole answer.
	completed bool
	// fingerprints are those of the request, once they were asked for.
	fingerprints []Fingerprint
}

// Attempts returns how many back ends may have received the request.
func (x *Exchange) Attempts() int { return x.attempts }

// Ran tells whether a back end ran the request, as far as is known.
func (x *Exchange) Ran() failure.Ran { return x.ran }

// Service returns the service that the request goes to.
func (x *Exchange) Service() string { return x.service }

func (x *Exchange) wasTried(m *member) bool {
	for _, id := range x.tried {
		if id == m.backEnd.ID {
			return true
		}
	}
	return false
}

// Send is an attempt to make.
type Send struct {
	// BackEnd is the target.
	BackEnd catalog.BackEnd
	// FetchFrom is the address of a back end that the target may copy the
	// prompt's parts from, or "".
	FetchFrom string
	// Patience is how long to wait for the answer's head before another back end
	// is tried; 0 means until the deadline.
	HeadTimeout time.Duration
	// Estimate is the load that decided, and Candidates among how many.
	Estimate   float64
	Candidates int
	// Version is that of the back end's software while its service is moved to another one.
	Version string
}

// Decision is what to do next: send, give up with an error, or, when both are
// nil, pass on the answer at hand.
type Decision struct {
	Send   *Send
	GiveUp *failure.Error
}

const (
	// maxConnects bounds the back ends tried that can't be connected to.
	maxFailedConnects = 4
	// refusedWait is when to come back after one back end's refusal.
	refusalRetryAfter = 250 * time.Millisecond
	// leastPatience and patienceObjectives bound the wait for a head while another back end
	// may be tried: the least time, and so many times the route's objective.
	minHeadTimeout        = time.Second
	headTimeoutObjectives = 3
)

// Begin takes a request and decides its first attempt.
func (c *Core) Begin(now time.Time, request Request) (*Exchange, Decision) {
	x := &Exchange{request: request, ran: failure.RanNo}
	seed := request.ID
	if part := request.affinity(); part != "" {
		seed = part
	}
	x.service = request.Route.Target(seed)
	c.budget(x.service).Earn()
	return x, c.attempt(now, x)
}

// attempt chooses a back end and notes the attempt.
func (c *Core) attempt(now time.Time, x *Exchange) Decision {
	if !now.Before(x.request.Deadline) {
		return c.giveUp(now, x, failure.DeadlineUnmeetable, "the deadline passed before a back end answered")
	}
	if c.withholds(now, x) {
		return c.giveUp(now, x, failure.Withheld, "requests of this content crash the back ends that run them; don't send it again unchanged")
	}
	c.pickSide(now, x)
	chosen := c.choose(now, x)
	if chosen == nil && c.fallBackToStanding(x) {
		chosen = c.choose(now, x)
	}
	if chosen == nil {
		return c.giveUp(now, x, failure.PoolExhausted, "no back end of "+x.service+" has room")
	}
	send := &Send{
		BackEnd:     chosen.backEnd,
		FetchFrom:   c.copySource(now, x, chosen),
		HeadTimeout: c.headTimeout(x),
		Estimate:    c.estimate(now, chosen),

		Candidates: len(c.poolMembers(now, x.service)),
	}
	if c.rollouts.byService[x.service] != nil {
		send.Version = chosen.backEnd.Version
	}
	x.phase = Sent
	x.attempts++
	x.tried = append(x.tried, chosen.backEnd.ID)
	x.current = chosen
	x.sentAt = now
	x.waitEnded = false
	c.startRolloutAttempt(now, x, chosen)
	chosen.own++
	c.localResidenceOf(x.service).sent++
	c.recordHealthChange(now, chosen)
	chosen.health.sent(now)
	return Decision{Send: send}
}

// patience bounds the wait for a head only while another attempt is allowed.
func (c *Core) headTimeout(x *Exchange) time.Duration {
	route := x.request.Route
	if !route.MayRepeat() || x.attempts+1 >= route.MaxAttempts || c.budget(x.service).Tokens() < 1 {
		return 0
	}
	return max(minHeadTimeout, headTimeoutObjectives*route.Objective)
}

// giveUp ends the exchange. A request that may have run gets an answer that
// promises nothing, whatever the last cause.
func (c *Core) giveUp(now time.Time, x *Exchange, kind failure.Kind, message string) Decision {
	x.phase = Ended
	if x.ran != failure.RanNo && kind.Answer().Ran == failure.RanNo {
		kind = failure.BackendFailed
		message += "; an earlier attempt may have run"
	}
	refusal := failure.New(kind, message)
	if kind == failure.PoolExhausted {
		refusal.RetryAfter = c.retryAfter(now, x)
	}
	return Decision{GiveUp: refusal}
}

// whenToComeBack returns when a caller may find a back end of the exchange's service that takes
// its request; 0 for the default.
func (c *Core) retryAfter(now time.Time, x *Exchange) time.Duration {
	wait, all := c.earliestRetry(now, x)
	switch {
	case all:
		return wait
	case x.attempts > 0:
		// One back end refused; another may take the request at once.
		return refusalRetryAfter
	default:
		return min(wait, failure.PoolExhausted.Answer().RetryAfter)
	}
}
