// Package task runs the background tasks of a process. A panic in one of them ends neither the process nor the stop that
// waits for it: it is logged and counted, and a task that has to run for good is started again.
package task

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// restartPause is the time from a panic of a task that has to run for good until it is started again.
const restartPause = time.Second

// Group is a group of tasks that one owner starts and waits for. It is safe for concurrent use.
type Group struct {
	log     logrus.FieldLogger
	metrics tally.Scope
	tasks   conc.WaitGroup
}

// NewGroup returns a group whose panics are logged and counted in tasks_panicked.
func NewGroup(log logrus.FieldLogger, metrics tally.Scope) *Group {
	return &Group{log: log, metrics: metrics}
}

// Go runs a task once.
func (g *Group) Go(name string, run func()) {
	g.tasks.Go(func() { g.try(name, run) })
}

// Keep runs a task that is to go on until ctx ends, again after each panic.
func (g *Group) Keep(ctx context.Context, name string, run func()) {
	g.tasks.Go(func() {
		for g.try(name, run) && ctx.Err() == nil {
			timer := time.NewTimer(restartPause)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	})
}

// Wait returns once all tasks have ended.
func (g *Group) Wait() { g.tasks.Wait() }

// try runs a task and reports whether it panicked.
func (g *Group) try(name string, run func()) (panicked bool) {
	var catcher panics.Catcher
	catcher.Try(run)
	recovered := catcher.Recovered()
	if recovered == nil {
		return false
	}
	g.metrics.Tagged(map[string]string{"task": name}).Counter("tasks_panicked").Inc(1)
	fields := logrus.Fields{"task": name, "cause": fmt.Sprint(recovered.Value), "stack": string(recovered.Stack)}
	g.log.WithFields(fields).Warn(string(eventlog.TaskPanicked))
	return true
}
