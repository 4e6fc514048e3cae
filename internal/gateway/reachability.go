package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/task"
)

// A run that may not be repeated may go on elsewhere only if its back end has stopped working on it. Silence doesn't
// tell: a back end that has preempted the run, or stands still for a moment, goes on with it later, and not
// every back end drops a request with its connection. A back end to which no connection can be opened is lost
// to this gateway.

// reachability is what is known of whether a back end can be reached.
type reachability uint8

const (
	reachabilityUnknown reachability = iota
	reachable
	unreachable
)

// String returns the value of the metric's label.
func (r reachability) String() string { return [...]string{"unknown", "reachable", "unreachable"}[r] }

const (
	// reachProbeTimeout is how long a probe waits for its connection, and how long the questions about a run may take.
	reachProbeTimeout = 400 * time.Millisecond
	// reachProbeLateness is how much later than that a probe may fail for its result to count.
	reachProbeLateness = 100 * time.Millisecond
	// reachProbePeriod is the least time between the beginnings of two probes of a back end.
	reachProbePeriod = 200 * time.Millisecond
	// reachValidity is for how long the result of a probe counts, and unreachableValidity for how long that of one that
	// didn't reach the back end does: it may be reached again, and go on with its runs.
	reachValidity       = time.Second
	unreachableValidity = reachProbePeriod + reachRecheck
	// reachRecheck is the time until a stream is examined again whose back end is being probed.
	reachRecheck = 50 * time.Millisecond
)

// reachProbes probes silent back ends by opening connections to them. All silent streams of a back end share its
// probes. It is safe for concurrent use.
type reachProbes struct {
	dial  hop.DialFunc
	tasks *task.Group
	// report is called with each result.
	report func(reachability)

	mutex sync.Mutex
	// byAddress holds the probes of the back ends, as long as their results count.
	byAddress map[string]*reachProbe
}

// reachProbe is the state of a back end's probes.
type reachProbe struct {
	running   bool
	beganAt   time.Time
	endedAt   time.Time
	lastKnown reachability
}

// newReachProbes returns probes that connect with dial; nil means TCP.
func newReachProbes(dial hop.DialFunc, tasks *task.Group, report func(reachability)) *reachProbes {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &reachProbes{dial: dial, tasks: tasks, report: report, byAddress: map[string]*reachProbe{}}
}

// examine returns the result of the last probe of a back end, if that still counts, and begins a further one if one is due.
// It doesn't block.
func (p *reachProbes) examine(address string) reachability {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	probe := p.byAddress[address]
	if probe == nil {
		p.removeOld(now)
		probe = &reachProbe{}
		p.byAddress[address] = probe
	}
	if !probe.running && now.Sub(probe.beganAt) >= reachProbePeriod {
		probe.running, probe.beganAt = true, now
		p.tasks.Go("probe_back_end", func() { p.run(address, probe) })
	}
	return probe.resultAt(now)
}

// resultAt returns the last result if it still counts.
func (p *reachProbe) resultAt(now time.Time) reachability {
	validity := reachValidity
	if p.lastKnown == unreachable {
		validity = unreachableValidity
	}
	if now.Sub(p.endedAt) > validity {
		return reachabilityUnknown
	}
	return p.lastKnown
}

// run probes a back end.
func (p *reachProbes) run(address string, probe *reachProbe) {
	result := p.connect(address)
	p.report(result)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	probe.running, probe.endedAt, probe.lastKnown = false, time.Now(), result
}

// connect opens a connection and closes it. A failure that comes late says nothing: a process that has stood still may
// have missed the connection. Neither does a failure of this process, for example for want of descriptors.
func (p *reachProbes) connect(address string) reachability {
	ctx, cancel := context.WithTimeout(context.Background(), reachProbeTimeout)
	defer cancel()
	began := time.Now()
	connection, err := p.dial(ctx, "tcp", address)
	if err == nil {
		_ = connection.Close()
		return reachable
	}
	isLate := time.Since(began) > reachProbeTimeout+reachProbeLateness
	if !isLate && (isRefused(err) || isUnanswered(err)) {
		return unreachable
	}
	return reachabilityUnknown
}

// isRefused reports whether a connection failed because nobody listens at its address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isUnanswered reports whether a connection failed because the machine at its address didn't respond.
func isUnanswered(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// removeOld removes the probes whose results don't count any more. The mutex must be held.
func (p *reachProbes) removeOld(now time.Time) {
	for address, probe := range p.byAddress {
		if !probe.running && now.Sub(probe.endedAt) > reachValidity {
			delete(p.byAddress, address)
		}
	}
}
