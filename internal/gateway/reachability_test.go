package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/task"
)

const probedAddress = "10.8.0.1:1"

// ignoreResult is the report of probes whose results nobody counts.
func ignoreResult(reachability) {}

func connectAtOnce(context.Context) (net.Conn, error) {
	ours, theirs := net.Pipe()
	return ours, theirs.Close()
}

func dialUntilTimeout(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// failWith returns a dial that fails with the cause.
func failWith(cause error) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) { return nil, errors.Wrap(cause, "dial") }
}

func TestReachabilityIsKnownAfterAProbe(t *testing.T) {
	for name, each := range map[string]struct {
		dial func(ctx context.Context) (net.Conn, error)
		want reachability
	}{
		"connected": {connectAtOnce, reachable},
		"refused":   {failWith(syscall.ECONNREFUSED), unreachable},
		"no route":  {failWith(syscall.EHOSTUNREACH), unreachable},
		"timed out": {dialUntilTimeout, unreachable},
		// Guards against a failure of this process or its machine that is taken for a lost back end.
		"no descriptors": {failWith(syscall.EMFILE), reachabilityUnknown},
		"no local ports": {failWith(syscall.EADDRNOTAVAIL), reachabilityUnknown},
		"no network":     {failWith(syscall.ENETUNREACH), reachabilityUnknown},
		// Guards against a process that stood still, and takes that for a lost back end.
		"late": {func(ctx context.Context) (net.Conn, error) {
			time.Sleep(2 * reachProbeTimeout)
			return nil, ctx.Err()
		}, reachabilityUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				results := make(chan reachability, 2)
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return each.dial(ctx) }
				probes := newReachProbes(dial, task.NewGroup(nil, tally.NoopScope), func(result reachability) { results <- result })
				is.Equal(probes.examine(probedAddress), reachabilityUnknown)
				is.Equal(<-results, each.want)
				time.Sleep(time.Millisecond)
				is.Equal(probes.examine(probedAddress), each.want)
				time.Sleep(2 * reachProbeTimeout) // until a further probe has ended
			})
		})
	}
}

// All silent streams of a back end share its probes, and a result doesn't count for long.
func TestProbesAreSharedAndForgotten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var dials atomic.Int64
		probes := newReachProbes(func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			return connectAtOnce(ctx)
		}, task.NewGroup(nil, tally.NoopScope), ignoreResult)
		const streams = 20
		for range streams {
			is.Equal(probes.examine(probedAddress), reachabilityUnknown)
		}
		time.Sleep(time.Millisecond)
		for range streams {
			is.Equal(probes.examine(probedAddress), reachable)
		}
		is.Equal(dials.Load(), int64(1))
		time.Sleep(reachValidity + time.Millisecond)
		is.Equal(probes.examine(probedAddress), reachabilityUnknown)
		time.Sleep(reachValidity + time.Millisecond)
		probes.examine("10.8.0.2:1")
		is.Equal(len(probes.byAddress), 1)
	})
}

// Guards against a run that is continued beside its back end, which couldn't be reached a moment ago and can be reached now.
func TestBackEndThatIsReachedAgainIsNotTakenForLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lost atomic.Bool
		lost.Store(true)
		probes := newReachProbes(func(ctx context.Context, _, _ string) (net.Conn, error) {
			if lost.Load() {
				return dialUntilTimeout(ctx)
			}
			return connectAtOnce(ctx)
		}, task.NewGroup(nil, tally.NoopScope), ignoreResult)
		probes.examine(probedAddress)
		time.Sleep(reachProbeTimeout + time.Millisecond)
		lost.Store(false)
		is.Equal(probes.examine(probedAddress), unreachable) // the result is new; a further probe begins
		time.Sleep(time.Millisecond)
		is.Equal(probes.examine(probedAddress), reachable)
		lost.Store(true)
		time.Sleep(reachValidity)
		probes.examine(probedAddress)
		time.Sleep(reachProbeTimeout + unreachableValidity + 10*time.Millisecond)
		is.Equal(probes.examine(probedAddress), reachabilityUnknown) // it may have been reached again since
		time.Sleep(2 * reachProbeTimeout)
	})
}
