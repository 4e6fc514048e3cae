package simulation

import (
	"time"
)

// process is one process of the system on a machine of its own. It may be down,
// or frozen: then what reaches it waits until it wakes.
type process struct {
	id     string
	zone   string
	region string
	up     bool
	frozen bool
	// generation rises with every start, so that what was meant for an earlier
	// process never reaches a later one.
	generation int
	// clockError is how far the machine's clock is off.
	clockError time.Duration
	inbox      []func()
}

// clock returns the machine's own time.
func (p *process) clock(s *Simulation) time.Time { return s.loop.now.Add(p.clockError) }

// deliver lets something reach the process: at once, when it wakes, or never.
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

// thaw wakes the process; it goes on as if nothing had passed.
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
