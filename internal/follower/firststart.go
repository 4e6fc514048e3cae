package follower

import (
	"context"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// startMark is an object beside the records of settled services that says that the fleet has been started. It
// describes no service.
var startMark = dispatch.SettledService{Identity: "fleet-started"}

// firstStart decides whether the fleet starts for the first time. The settings alone don't tell: they may still say so
// at a later start.
type firstStart struct {
	decided chan struct{}
	isFirst bool
}

// decideFirstStart reads the store's records if the settings say that the fleet starts for the first time. Any record
// shows that gateways have run before. With PeersFirst the read may be stale: the mark of an earlier start is older than
// a stale read.
func (f *Follower) decideFirstStart(ctx context.Context) {
	defer close(f.firstStart.decided)
	if !f.config.FirstStart {
		return
	}
	f.retryCall(ctx, func(ctx context.Context) error {
		records, err := f.config.Source.SettledServices(ctx, f.config.PeersFirst)
		if err != nil {
			return err
		}
		f.firstStart.isFirst = len(records) == 0
		return nil
	})
	if f.firstStart.isFirst {
		f.config.State.AssumeFirstStart()
		return
	}
	f.config.Log.Entry().Warn("the settings say that the fleet starts for the first time, and the store has records of an earlier start; remove first_start")
}

// isFirstStart reports whether the fleet starts for the first time, once that is decided.
func (f *Follower) isFirstStart(ctx context.Context) bool {
	select {
	case <-f.firstStart.decided:
		return f.firstStart.isFirst
	case <-ctx.Done():
		return false
	}
}
