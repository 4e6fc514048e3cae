package dispatch

import (
	"cmp"
	"time"

	"github.com/harriernotch/harriernotch/internal/workload"
)

// The load of a model engine is also counted in tokens, because one request costs an engine up to a
// hundred times as much as another; see package workload. Members of services whose configuration
// states the memory of an engine have a workload.Engine.

const (
	// workInterval is the minimum time between two updates of what an engine is assumed to have
	// in common with the others of its service.
	workInterval = 250 * time.Millisecond
	// workSmoothing is the weight of the latest update in the mean work per stream. A gateway of a
	// large fleet has few streams, so the mean covers about ten updates, which is 2.5 s.
	workSmoothing = 0.1
	// averageSmoothing is the weight of the latest request in the average one. Sizes differ a
	// hundredfold, so the average covers about the last 50 requests.
	averageSmoothing = 0.02
	// defaultTokenBytes is the size of a token in an engine's cache, in bytes, if the service doesn't
	// state it.
	defaultTokenBytes = 18_432
)

// serviceWork is what the engines of a service have in common.
type serviceWork struct {
	errors *workload.ErrorRecord
	// updatedAt is when the engines' fallback rates and perStream were last updated.
	updatedAt time.Time
	fallback  workload.Rates
	// perStream is the mean work per stream of this gateway, and average the average request,
	// both in tokens.
	perStream struct{ streams, unread, memory float64 }
	average   struct{ unread, memory, output float64 }
}

// serviceWorkOf returns the common state of the service's engines.
func (c *Core) serviceWorkOf(service string) *serviceWork {
	work := c.work[service]
	if work == nil {
		work = &serviceWork{errors: workload.NewErrorRecord()}
		c.work[service] = work
	}
	return work
}

// updateEngines gives each listed member an engine if its service's configuration calls for one.
func (c *Core) updateEngines() {
	for name, pool := range c.pools {
		service := c.services[name]
		if service.CacheTokens <= 0 || c.config.Disabled[Workload] {
			delete(c.work, name)
			for _, m := range pool.members {
				m.engine = nil
			}
			continue
		}
		work := c.serviceWorkOf(name)
		for _, m := range pool.members {
			limits := workload.Limits{Slots: m.backEnd.Slots, Memory: service.CacheTokens, EventTokens: service.EventTokens}
			if m.engine == nil {
				m.engine = workload.NewEngine(limits, work.fallback, work.errors)
			}
			m.engine.SetLimits(limits)
		}
	}
}

// refreshWork updates what the engines of the service have in common, at most once in each
// workInterval.
func (c *Core) refreshWork(now time.Time, service string, work *serviceWork) {
	pool := c.pools[service]
	if pool == nil || now.Sub(work.updatedAt) < workInterval {
		return
	}
	work.updatedAt = now
	work.fallback = workload.MeanRates(pool.rates)
	var own workload.Work
	for _, m := range pool.members {
		if m.engine != nil {
			m.engine.SetFallback(work.fallback)
			own = own.Plus(m.engine.Own())
		}
	}
	work.perStream.streams += workSmoothing * (float64(own.Streams) - work.perStream.streams)
	work.perStream.unread += workSmoothing * (float64(own.Unread) - work.perStream.unread)
	work.perStream.memory += workSmoothing * (float64(own.Memory) - work.perStream.memory)
}

// rates yields the rates of the pool's engines.
func (p *pool) rates(yield func(workload.Rates) bool) {
	for _, m := range p.members {
		if m.engine != nil && !yield(m.engine.Rates()) {
			return
		}
	}
}

// othersWork returns the estimated work of all other gateways at the member's engine, given the
// estimated load of the member. Unread tokens are those that the others report, if they are known.
func (c *Core) othersWork(now time.Time, m *member, load float64) workload.Work {
	work := c.assumedOthersWork(m, load)
	if c.knowsOthersUnread(now) {
		work.Unread = int(c.othersUnread(now, m))
	}
	return work
}

// assumedOthersWork estimates othersWork from the load alone: each stream of other gateways is assumed
// to have as many unread and committed tokens as this gateway's streams of the service have on average.
func (c *Core) assumedOthersWork(m *member, load float64) workload.Work {
	streams := max(load-float64(m.own), 0)
	result := workload.Work{Streams: int(streams + 0.5)}
	if mean := c.serviceWorkOf(m.backEnd.Service).perStream; mean.streams > 0 {
		result.Unread = int(streams * mean.unread / mean.streams)
		result.Memory = int(streams * mean.memory / mean.streams)
	}
	return result
}

// sizeAt returns the size of the exchange's request at the member. fetchFrom is the address from
// which the member may copy parts of the prompt, or "". Tokens that earlier attempts received are
// prefilled like the prompt.
func (c *Core) sizeAt(now time.Time, x *Exchange, m *member, fetchFrom string) workload.Size {
	shared := x.request.sharedTokens()
	prompt := max(x.request.PromptTokens, x.request.partTokens())
	held, copyable := c.knownTokens(now, x, m)
	unread := prompt - held
	if fetchFrom != "" {
		unread -= int((1 - c.copyCost(x.service)) * float64(copyable-held))
	}
	unread += x.received
	if x.continuing {
		unread = 0 // the member has a copy of all but the last moments; nothing is learned from it
	}
	output := max(x.request.OutputTokens-x.received, 0)
	return workload.Size{
		Unread: unread, Memory: prompt - shared + x.received + output, Output: output,
		// The source of a copy may hold more of the prompt than is known. The end of an answer that
		// isn't a stream doesn't show that its first token was late.
		Guessed: fetchFrom != "" && copyable < shared || !x.request.Route.Stream,
	}
}

// copyCost returns what copying a token costs an engine of the service, relative to prefilling it: by
// the size of its tokens, and at most as much.
func (c *Core) copyCost(service string) float64 {
	size := cmp.Or(c.services[service].TokenBytes, defaultTokenBytes)
	return min(1, float64(size)/copyBytesPerToken)
}

// knownTokens returns how many of the prompt's shared tokens the member is assumed to hold, and how
// many it or any other back end is.
func (c *Core) knownTokens(now time.Time, x *Exchange, m *member) (held, copyable int) {
	tokens := 0
	for i, part := range x.request.Parts {
		if i > 0 && i == len(x.request.Parts)-1 {
			break // the request's own part
		}
		tokens += part.Tokens
		isHeld, isKnown := c.holders.holds(now, keyOf(part.ID), m.backEnd.Incarnation())
		if isHeld {
			held = tokens
		}
		if isKnown {
			copyable = tokens
		}
	}
	return held, copyable
}

// beginWork adds the attempt to the work of the chosen member's engine.
func (c *Core) beginWork(now time.Time, x *Exchange, chosen *member, send *Send) {
	if chosen.engine == nil {
		return
	}
	work := c.serviceWorkOf(x.service)
	c.refreshWork(now, x.service, work)
	size := c.sizeAt(now, x, chosen, send.FetchFrom)
	work.average.unread += averageSmoothing * (float64(size.Unread) - work.average.unread)
	work.average.memory += averageSmoothing * (float64(size.Memory) - work.average.memory)
	work.average.output += averageSmoothing * (float64(size.Output) - work.average.output)
	x.engine = chosen.engine
	x.run = x.engine.Begin(now, c.othersWork(now, chosen, send.Estimate), size)
	x.hasFirstToken = false
	send.EventTokens = max(c.services[x.service].EventTokens, 1)
	send.Predicted = x.run.Predicted()
}

// Progressed records that an event with the given number of tokens has arrived. It has no effect on
// attempts whose Send has no EventTokens.
func (c *Core) Progressed(now time.Time, x *Exchange, tokens int) {
	if x.run == nil {
		return
	}
	x.received += tokens
	if !x.hasFirstToken {
		x.hasFirstToken = true
		x.engine.FirstToken(now, x.run)
		return
	}
	x.engine.Progress(now, x.run, tokens)
}

// endWork removes the attempt from the work of its engine.
func (x *Exchange) endWork(now time.Time) {
	if x.run != nil {
		x.engine.End(now, x.run)
		x.engine, x.run = nil, nil
	}
}

// WorkStatus is the work at a back end as this gateway sees it; zero without an engine.
type WorkStatus struct {
	// Own is the work of this gateway's requests, and All that of all gateways.
	Own, All workload.Work
	// Wait is the predicted time to the first token of an average request, and Pace the time
	// that work takes there now, relative to the mean of the service's engines.
	Wait time.Duration
	Pace float64
}

func (c *Core) workStatus(now time.Time, m *member) WorkStatus {
	if m.engine == nil {
		return WorkStatus{}
	}
	others := c.othersWork(now, m, c.estimate(now, m))
	average := c.serviceWorkOf(m.backEnd.Service).average
	size := workload.Size{Unread: int(average.unread), Memory: int(average.memory), Output: int(average.output)}
	return WorkStatus{
		Own: m.engine.Own(), All: m.engine.Own().Plus(others),
		Wait: m.engine.Predict(now, others, size).FirstToken, Pace: m.engine.Pace(now),
	}
}

// predictionErrors returns the recent errors of the service's predicted times to the first token.
func (c *Core) predictionErrors(now time.Time, service string) workload.ErrorSummary {
	if work := c.work[service]; work != nil {
		return work.errors.Summary(now)
	}
	return workload.ErrorSummary{}
}
