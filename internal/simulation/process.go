package simulation

import (
	"time"
)

// process is one process of the system on its own machine. It may be down or frozen.
// Events for a frozen process wait in its inbox until it is thawed.
type process struct {
	id     string
	zone   string
	region string
	up     bool
	frozen bool
	// generation increases with every start, so that events addressed to an earlier
	// start are never delivered to a later one.
	generation int
	// clockError is the offset of the machine's clock from the simulation's clock.
	clockError time.Duration
	inbox      []func()
}

// clock returns the time by the machine's own clock.
func (p *process) clock(s *Simulation) time.Time { return s.loop.now.Add(p.clockError) }

// deliver runs an event in the process: immediately, or after the thaw if the process is
// frozen. It drops the event if the process is down or was restarted since.
func (p *process) deliver(generation int, run func()) {
	if !p.up || p.generation != generation {
		return
	}
	if p.frozen {
		p.inbox = append(p.inbox, run)
		return
	}
	run()
}

// thaw resumes a frozen process, which handles its inbox. It isn't notified of the pause; only
// its clock shows it.
func (p *process) thaw() {
	p.frozen = false
	waiting := p.inbox
	p.inbox = nil
	for _, run := range waiting {
		if p.frozen || !p.up {
			return
		}
		run()
	}
}
