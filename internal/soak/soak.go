// Package soak runs whole gateways under faults that come from outside them alone
// (links, signals, the store, back ends, the configuration) and checks, from what
// callers and back ends see, every promise that can be seen there.
//
// The same schedule, stand-ins, callers and checks run over two environments:
// gateways in one process on a virtual clock, for many seeds, and the real programs
// as separate processes on loopback. The same seed gives the same schedule.
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
	// Seed draws the schedule and the callers' choices.
	Seed uint64
	// Duration is how long faults strike. The run goes on for Settle without any,
	// and recovery is checked then.
	Duration time.Duration
	// Gateways, BackEnds (per service) and Callers are the sizes of the fleet.
	Gateways int
	BackEnds int
	Callers  int
	// Kinds are the kinds of faults that are drawn; none stands for all.
	Kinds []Kind
	// Disable names mechanisms of the gateways that are switched off, to show that
	// the checks notice; see dispatch.Disable.
	Disable []string
}

// draws tells whether faults of the kind may be drawn.
func (o Options) includes(kind Kind) bool { return len(o.Kinds) == 0 || slices.Contains(o.Kinds, kind) }

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Seed: 1, Duration: time.Minute, Gateways: 3, BackEnds: 4, Callers: 24}
}

const (
	// warmUp is the time before the first fault, settle the time after the last.
	leadTime     = 3 * time.Second
	recoveryTime = 8 * time.Second
)

// Result is what a run found.
type Result struct {
	// Seed and Faults tell what was played.
	Seed   uint64
	Faults int
	// Requests counts those that callers sent, Served those answered whole, and
	// Unknown those whose caller can't know whether they ran.
	Requests int
	Served   int
	Unknown  int
	// Violations are the broken promises, the first few of each.
	Violations []Violation
	// Counts is the number of violations by promise.
	Counts map[Promise]int
	// Struck tells in order what struck, with the time from the first fault.
	FaultLog []string
}

// Run plays one seed.
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
	result := f.check.finish()
	result.Seed, result.Faults, result.FaultLog = options.Seed, len(faults), f.faultLog.lines
	return result, ctx.Err()
}

// play carries out the faults, each at its time.
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
