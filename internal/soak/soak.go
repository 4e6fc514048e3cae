// Package soak runs complete gateways under injected faults and checks every promise that can be
// verified from what callers and back ends observe. All faults come from outside the gateways:
// network links, signals, the store, back ends and the configuration.
//
// The same schedule, stand-ins, callers and checks run in two environments: gateways in one
// process on a virtual clock, for many seeds, and the real programs as separate processes on
// loopback. The same options with the same seed give the same schedule.
package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// Options describe one run.
type Options struct {
	// Seed seeds the schedule and the callers' random choices. The schedule also depends on
	// Duration and Kinds.
	Seed uint64
	// Duration is how long faults are injected. The run then continues for recoveryTime without
	// faults, and recovery is checked in that time.
	Duration time.Duration
	// Gateways, BackEnds and Callers are the sizes of the fleet.
	Gateways int
	BackEnds int
	Callers  int
	// Kinds are the kinds of faults to draw from. If it is empty, all kinds are drawn.
	Kinds []Kind
	// Backups makes the back ends engines that back up running streams to each other.
	Backups bool
	// Versions is the number of software versions that the back ends run; 0 draws it from the seed,
	// except with Backups.
	Versions int
	// Disable names mechanisms of the gateways to switch off, to show that the checks detect it;
	// see dispatch.Disable.
	Disable []string
}

// includes returns whether faults of the kind may be drawn.
func (o Options) includes(kind Kind) bool { return len(o.Kinds) == 0 || slices.Contains(o.Kinds, kind) }

// isNamed returns whether Kinds names the kind.
func (o Options) isNamed(kind Kind) bool { return slices.Contains(o.Kinds, kind) }

// includesMoves returns whether faults may be drawn that move the service to another version.
func (o Options) includesMoves() bool { return o.includes(MoveService) || o.includes(MoveUnattended) }

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Seed: 1, Duration: time.Minute, Gateways: 3, BackEnds: 4, Callers: 24}
}

const (
	// leadTime is the time before the first fault. recoveryTime is the time after the last one.
	leadTime     = 3 * time.Second
	recoveryTime = 8 * time.Second
)

// Result is the outcome of a run.
type Result struct {
	// Seed is the run's seed, and Faults the number of faults in its schedule.
	Seed   uint64
	Faults int
	// Requests counts the requests that callers sent, Served those that were answered
	// completely, and Unknown those whose caller can't know whether they ran.
	Requests int
	Served   int
	Unknown  int
	// Interrupted counts the streams that may not be repeated, had a backup and were interrupted by
	// a crash of their back end, and Survived those of them that were answered completely.
	// LostWithCopy counts those of the others whose copy was lost as well, so that no back end could
	// continue them.
	Interrupted  int
	Survived     int
	LostWithCopy int
	// TakenUp counts the streams that callers took up at gateways that no fault affected, while back ends of
	// their version served, and WentOn those of them that went on.
	TakenUp int
	WentOn  int
	// Focused counts the times in which most new connections went to one gateway and that were judged.
	Focused int
	// Violations holds the first few violations of each promise.
	Violations []Violation
	// Counts is the number of violations by promise.
	Counts map[Promise]int
	// FaultLog lists the injected faults and the verdicts on move orders in order, with the time
	// since the first entry.
	FaultLog []string
}

// Run performs one run with the options' seed.
func Run(ctx context.Context, options Options, environment Environment) (Result, error) {
	f, err := newFleet(options, environment)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	if err := f.start(); err != nil {
		return Result{}, err
	}
	sleep(ctx, leadTime)
	faults := Schedule(options)
	callersContext, stopCallers := context.WithCancel(ctx)
	var callers conc.WaitGroup
	for i := range options.Callers {
		callers.Go(func() { newCaller(f, i).run(callersContext) })
	}
	f.play(ctx, faults)
	f.check.expectRecovery(time.Now())
	sleep(ctx, recoveryTime)
	stopCallers()
	callers.Wait()
	f.checkEnds()
	result := f.check.finish()
	result.Seed, result.Faults, result.FaultLog = options.Seed, len(faults), f.faultLog.lines
	return result, ctx.Err()
}

// play injects each fault at its scheduled time and waits until all have ended.
func (f *fleet) play(ctx context.Context, faults []Fault) {
	start := time.Now()
	var running conc.WaitGroup
	for _, fault := range faults {
		sleep(ctx, time.Until(start.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		f.faultLog.add(fmt.Sprintf("%s for %v", fault, fault.For))
		running.Go(func() { f.inject(ctx, fault) })
	}
	sleep(ctx, time.Until(start.Add(f.options.Duration)))
	running.Wait()
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
