package dispatch

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Long cold prompts arrive in clumps: at the start of a day, after a crash of many engines, or with
// new prompts. Rendezvous order doesn't look at unread tokens, so several of them may reach one
// engine at once, where they delay all that arrive after them. So a request goes to the member with
// the lowest cost among those that may take it. The homes of its prompt stay the first choice while
// they serve it in time: gateways know each other's work late, and an error of a prediction must not
// move a part.

const (
	// comfortableShare is the share of a route's objective up to which the first home is used without
	// a comparison. The rest covers errors of the prediction.
	comfortableShare = 0.5
	// alternatives is the number of members that are compared with homes that serve the request late.
	// Gateways that compared more would choose the same few.
	alternatives = 2
	// maxDraws limits the members that are drawn as alternatives. A hash of 64 bits has as many draws
	// among a thousand members.
	maxDraws = 6
	// alternativeShare is the share of the bound on load up to which a member takes requests as an
	// alternative: about the mean load. Gateways don't hear of each other's draws in time, so the rest
	// is left to the homes' requests.
	alternativeShare = 0.5
	// inUseLoad is the load from which a member is known to be in use, in requests. busierLoad is the
	// load of another member from which an unused one is suspected to have crashed.
	inUseLoad  = 0.5
	busierLoad = 3
	// maxSkippedUnused limits the position up to which unused members are passed over.
	maxSkippedUnused = 8
)

// placement is the choice of a member for one request by predicted time.
type placement struct {
	exchange *Exchange
	// objective is the route's objective, in seconds; 0 without one.
	objective float64
	// prompt and shared are the lengths of the prompt and of its shared parts, in tokens.
	prompt, shared int
	// copyCost is what copying a token costs, relative to prefilling it.
	copyCost float64
	best     option
}

// option is a member that may take the request. firstToken is the predicted time to the first token,
// and cost the same with the harm to other requests, both in seconds.
type option struct {
	member     *member
	isHome     bool
	firstToken float64
	cost       float64
}

// choosePredicted returns the member with the lowest cost, given the first one in the order of
// preference that may take the request. Members without an engine aren't compared. Nothing is compared
// while refused callers are expected back: then no engine has time to spare for what is cached elsewhere.
func (c *Core) choosePredicted(now time.Time, x *Exchange, first option, a *admission, candidates []*member) *member {
	if first.member.engine == nil || !c.countsTokens(x) || c.config.Disabled[PredictedTime] {
		return first.member
	}
	p := placement{
		exchange: x, objective: x.request.Route.Objective.Seconds(),
		prompt: max(x.request.PromptTokens, x.request.partTokens()), shared: x.request.sharedTokens(), copyCost: c.copyCost(x.service),
	}
	p.best = c.predict(now, &p, c.firstInUse(now, x, first, a))
	isComfortable := p.best.cost <= comfortableShare*p.objective || p.objective <= 0
	if isComfortable || !c.backlogOf(x.service).isEmpty(now) {
		return p.best.member
	}
	c.compareHomes(now, &p, a)
	if p.best.firstToken > p.objective {
		c.compareAlternatives(now, &p, a.bound, candidates)
	}
	return p.best.member
}

// firstInUse returns the first option, unless a connection has failed for this request and no gateway
// uses the member. That one has probably crashed as well, and the next one that is used is returned.
func (c *Core) firstInUse(now time.Time, x *Exchange, first option, a *admission) option {
	if x.failedConnects == 0 || c.estimate(now, first.member) >= inUseLoad {
		return first
	}
	for a.position < maxSkippedUnused {
		isHome := c.nextIsHome(a.position)
		m, isAdmitted := c.admitNext(now, x, a)
		if m == nil {
			break
		}
		if isAdmitted && m.engine != nil && c.estimate(now, m) >= inUseLoad {
			return option{member: m, isHome: isHome}
		}
	}
	return first
}

// compareHomes compares the best option with the remaining homes.
func (c *Core) compareHomes(now time.Time, p *placement, a *admission) {
	for c.nextIsHome(a.position) {
		m, isAdmitted := c.admitNext(now, p.exchange, a)
		if m == nil {
			return
		}
		if isAdmitted {
			c.compare(now, p, option{member: m, isHome: true})
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

// mayTake reports whether the member, which isn't a home, has room for the request, stays within its
// share of the bound, and is won by lottery.
func (c *Core) mayTake(now time.Time, x *Exchange, m *member, bound float64) bool {
	available := c.roomFor(now, m, x, false)
	if m.engine == nil || available.left < 1 {
		return false
	}
	chance, _ := c.admissionChance(now, m, min(alternativeShare*bound, available.limit), 0)
	return winsLottery(x, m, chance)
}

// compare makes the option the best one if its cost is lower. Among several gateways, the more it gains
// the more of the requests go there, by a hash of the request: all of them may see the same advantage.
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

// predict returns the option with its predicted figures. The cost is the time to the first token, the
// time that moving the shared parts costs others, and the part of the predicted pause of other
// streams that is beyond their objective. A member whose memory is committed beyond its limit comes
// last.
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
		o.cost += time.Hour.Seconds()
	}
	return o
}

// movedTokens returns what moving the shared parts to the member costs, in prefilled tokens: what it
// lacks and another one holds. If none holds them, they are prefilled anyway, and a home copies them
// later from a member that isn't one.
func (p *placement) movedTokens(o option, unread int, isHeld bool) float64 {
	switch {
	case isHeld:
		return max(0, float64(unread-p.exchange.received-(p.prompt-p.shared)))
	case o.isHome:
		return 0
	default:
		return p.copyCost * float64(p.shared)
	}
}
