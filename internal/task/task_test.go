package task

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

func TestTaskIsRunAgainAfterAPanic(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		log := eventlog.New(&output, logrus.InfoLevel, nil)
		scope := tally.NewTestScope("", nil)
		group := NewGroup(log.Entry(), scope)
		ctx, cancel := context.WithCancel(context.Background())
		var runs atomic.Int64
		group.Keep(ctx, "loop", func() {
			if runs.Add(1) < 3 {
				panic("odd entry")
			}
			<-ctx.Done()
		})
		group.Go("once", func() { panic("odd message") })
		time.Sleep(3 * restartPause)
		is.Equal(runs.Load(), int64(3))
		cancel()
		group.Wait() // doesn't panic
		log.Close()
		is.Equal(strings.Count(output.String(), `"msg":"node.task_panicked"`), 3)
		is.True(strings.Contains(output.String(), `"cause":"odd entry"`))
		is.True(strings.Contains(output.String(), "TestTaskIsRunAgainAfterAPanic")) // the stack
		is.Equal(scope.Snapshot().Counters()["tasks_panicked+task=loop"].Value(), int64(2))
	})
}

func TestTaskThatPanicsWhileItsOwnerStopsIsNotRunAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := eventlog.New(&bytes.Buffer{}, logrus.InfoLevel, nil)
		group := NewGroup(log.Entry(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		runs := 0
		group.Keep(ctx, "loop", func() {
			runs++
			cancel()
			panic("in the stop")
		})
		group.Wait()
		log.Close()
		is.Equal(runs, 1)
	})
}
