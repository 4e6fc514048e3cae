package dispatch

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Long prompts that aren't cached anywhere often arrive at the same time: at the start of a day, after a
// crash of many engines, or when new prompts come into use. Rendezvous order doesn't take unread tokens
// into account, so several of them may reach one engine at once, where they delay all that arrive after
// them. So if the predicted cost of the first choice is high for the route's objective, other members are
// compared with it. Homes stay the first choice while they serve a request in time: gateways learn of each
// other's work with a delay, and an error of a prediction must not move a part.

const (
	// uncomparedShare is the share of a route's latency objective up to which the cost of
	// the first choice is accepted without a comparison. The rest covers errors of the prediction.
	uncomparedShare = 0.5
	// alternatives is the number of members that are compared with homes that serve the request late.
	// With more of them, gateways that know the same loads would all choose the same few members.
	alternatives = 2
	// maxDraws limits the members that are drawn as alternatives. Each draw among a thousand members
	// uses 10 bits of a hash of 64 bits.
	maxDraws = 6
	// alternativeShare is the share of the bound on load up to which a member takes requests as an
	// alternative: about the mean load. Gateways learn of each other's choices too late, so the rest is
	// left to requests for prompts that the member is a home of.
	alternativeShare = 0.5
	// inUseLoad is the estimated load, in requests, from which a member counts as in use. Estimates are
	// fractions if some gateways haven't reported.
	inUseLoad = 0.5
	// busierLoad is the load of another member, in requests, from which an unused one is suspected to
	// have crashed.
	busierLoad = 3
	// maxSkippedUnused is the position in the order of preference up to which unused members are passed
	// over.
	maxSkippedUnused = 8
)

// placement is the choice of a member for one request by predicted time.
type placement struct {
	exchange *Exchange
	// objective is the route's latency objective, in seconds; 0 without one.
	objective float64
	// prompt and shared are the lengths of the prompt and of its shared parts, in tokens.
	prompt, shared int
	// copyCost is what copying a token costs, relative to prefilling it.
	copyCost float64
	// best is the option with the lowest cost so far.
	best option
}

// option is a member that may take the request.
type option struct {
	member *member
	isHome bool
	// firstToken is the predicted time to the first token, in seconds, and cost the same plus the delay
	// of other requests; see predict. Both are 0 before predict.
	firstToken float64
	cost       float64
}

// choosePredicted returns the first option in the order of preference, or a member of lower cost: another
// home if the cost of the first option is too high for the objective, or any other member if no home
// serves the request in time. Members without an engine aren't compared. Nothing is compared while refused
// callers are expected back: then no engine has time to spare for what is cached elsewhere.
func (c *Core) choosePredicted(now time.Time, x *Exchange, first option, a *admission, candidates []*member) *member {
	if first.member.engine == nil || !c.countsTokens(x) || c.config.Disabled[PredictedTime] {
		return first.member
	}
	p := placement{
		exchange: x, objective: x.request.Route.Objective.Seconds(),
		prompt: max(x.request.PromptTokens, x.request.partTokens()), shared: x.request.sharedTokens(), copyCost: c.copyCost(x.service),
	}
	p.best = c.predict(now, &p, c.firstInUse(now, x, first, a))
	isFastEnough := p.objective <= 0 || p.best.cost <= uncomparedShare*p.objective
	if isFastEnough || !c.backlogOf(x.service).isEmpty(now) {
		return p.best.member
	}
	c.compareHomes(now, &p, a)
	if p.best.firstToken > p.objective {
		c.compareAlternatives(now, &p, a.bound, candidates)
	}
	return p.best.member
}

// firstInUse returns the first option, unless a connection has failed for this request and no gateway
// uses the member. Then the member has probably crashed as well, and the next one in the order that may
// take the request and is in use is returned, if there is one.
func (c *Core) firstInUse(now time.Time, x *Exchange, first option, a *admission) option {
	if x.failedConnects == 0 || c.estimate(now, first.member) >= inUseLoad {
		return first
	}
	for a.position < maxSkippedUnused {
		next, isAdmitted := c.admitNext(now, x, a)
		if next.member == nil {
			break
		}
		if isAdmitted && next.member.engine != nil && c.estimate(now, next.member) >= inUseLoad {
			return next
		}
	}
	return first
}

// compareHomes compares the best option with the remaining homes.
func (c *Core) compareHomes(now time.Time, p *placement, a *admission) {
	for c.nextIsHome(a.position) {
		home, isAdmitted := c.admitNext(now, p.exchange, a)
		if home.member == nil {
			return
		}
		if isAdmitted {
			c.compare(now, p, home)
		}
	}
}

// compareAlternatives compares the best option with members that aren't homes.
func (c *Core) compareAlternatives(now time.Time, p *placement, bound float64, candidates []*member) {
	left := alternatives
	for m := range drawn(p.exchange, candidates) {
		if m == p.best.member || !c.mayTake(now, p.exchange, m, bound) {
			continue
		}
		c.compare(now, p, option{member: m})
		if left--; left == 0 {
			return
		}
	}
}

// drawn yields some candidates, drawn by a hash of the request: gateways that know the same loads must
// not all choose the same member.
func drawn(x *Exchange, candidates []*member) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		hash, count := xxhash.Sum64String("alternative"+x.request.ID), uint64(len(candidates))
		for range maxDraws {
			if !yield(candidates[hash%count]) {
				return
			}
			hash /= count
		}
	}
}

// mayTake reports whether the member may take the request as an alternative: it has room for a prompt that
// it isn't a home of, stays within alternativeShare of the bound, and is won by lottery.
func (c *Core) mayTake(now time.Time, x *Exchange, m *member, bound float64) bool {
	available := c.roomFor(now, m, x, false)
	if m.engine == nil || available.left < 1 {
		return false
	}
	chance, _ := c.admissionChance(now, m, min(alternativeShare*bound, available.limit), 0)
	return winsLottery(x, m, chance)
}

// compare makes the option the best one if its cost is lower. If there are several gateways, it does so
// with a probability equal to the relative gain, by a hash of the request: otherwise all gateways that see
// the same advantage would move their requests at once.
func (c *Core) compare(now time.Time, p *placement, other option) {
	if other.member.engine == nil || c.mayHaveCrashed(now, other.member, p.best.member) {
		return
	}
	other = c.predict(now, p, other)
	gain := 1 - other.cost/p.best.cost
	if gain <= 0 || c.gateways > 1 && hashFraction("move"+p.exchange.request.ID+other.member.backEnd.ID) >= gain {
		return
	}
	p.best = other
}

// mayHaveCrashed reports whether no gateway uses the member although another one holds several
// requests. A crashed engine loses its requests at once, and then seems to be faster than all others
// until it isn't listed any more.
func (c *Core) mayHaveCrashed(now time.Time, m, other *member) bool {
	return c.estimate(now, m) < inUseLoad && c.estimate(now, other) >= busierLoad
}

// predict returns the option with its predicted figures. The cost is the sum of the time to the first
// token, the time that moving the shared parts costs others, and the excess of the predicted pause of
// streams over the route's objective for pauses. A member whose memory would be committed beyond its limit
// comes last.
func (c *Core) predict(now time.Time, p *placement, o option) option {
	m, x := o.member, p.exchange
	source := ""
	holder := c.usableHolder(now, keyOf(x.request.affinity()), m)
	if holder != nil && !c.config.Disabled[Copying] {
		source = holder.backEnd.Address
	}
	size := c.sizeAt(now, x, m, source)
	others := c.othersWork(now, m, c.estimate(now, m))
	prediction := m.engine.Predict(now, others, size)
	o.firstToken = prediction.FirstToken.Seconds()
	o.cost = o.firstToken + p.movedTokens(o, size.Unread, holder != nil)*m.engine.Rates().Prompt.Each
	o.cost += max(0, prediction.Pause-x.request.Route.PauseObjective).Seconds()
	if prediction.Memory > c.services[x.service].CacheTokens {
		o.cost += time.Hour.Seconds() // far more than a usual cost
	}
	return o
}

// movedTokens returns what moving the shared parts to the member costs, in prefilled tokens. If another
// member holds them, that is the work of prefilling or copying what this one lacks. If none does, some
// engine has to prefill them anyway, and only a member that isn't a home costs more: a home copies from
// there later what is prefilled now.
func (p *placement) movedTokens(o option, unread int, isHeld bool) float64 {
	lacking := max(0, float64(unread-p.exchange.received-(p.prompt-p.shared)))
	switch {
	case isHeld:
		return lacking
	case o.isHome:
		return 0
	default:
		return p.copyCost * lacking
	}
}
