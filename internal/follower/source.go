package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// ErrHistoryGone means that a watch can't go on from its revision.
var ErrHistoryGone = errors.New("the store has dropped that part of its history")

// Source is the platform's store. A plain read of a list takes a call for each page, which
// goes through ReadPage.
type Source interface {
	// Configuration returns the newest document, or nil when there is none. Where
	// stale is allowed, it may be seconds old, and costs the store less.
	Configuration(ctx context.Context, stale bool) (*catalog.Configuration, uint64, error)
	// AwaitConfiguration waits for a change after the revision. It returns nil
	// when there was none in time, and the revision to go on from.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (*catalog.Configuration, uint64, error)
	// BackEnds returns all back ends and the revision of the list, which may be
	// seconds old where stale is allowed.
	BackEnds(ctx context.Context, stale bool) ([]catalog.Entry, uint64, error)
	// AwaitBackEnds waits for changes after the revision.
	AwaitBackEnds(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Entry, uint64, error)
	// Evacuations returns the zones that operators evacuate and the revision of the
	// list, which may be seconds old where stale is allowed.
	Evacuations(ctx context.Context, stale bool) ([]catalog.Evacuation, uint64, error)
	// AwaitEvacuations waits for changes after the revision.
	AwaitEvacuations(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Evacuation, uint64, error)
	// Withheld returns the records of requests that are withheld, Withhold adds one unless it
	// is there, and Release removes one if it is there.
	Withheld(ctx context.Context) ([]dispatch.CrashRecord, error)
	Withhold(ctx context.Context, record dispatch.CrashRecord) error
	Release(ctx context.Context, fingerprint dispatch.Fingerprint) error
}

// Config sets up a Follower.
type Config struct {
	// Source is the store.
	Source Source
	// State takes the news.
	State *gateway.State
	// ReadPeriod is the time between two plain reads of each of two lists by any of the
	// readers; of three it is half as long again. The longer it is, the longer a change may
	// go unnoticed while a watch hears nothing; each read is a call to the store.
	ReadPeriod time.Duration
	// Evacuations is true where operators may evacuate zones.
	Evacuations bool
	// FirstStart is true when the fleet starts for the first time, so that nothing came
	// before.
	FirstStart bool
	// Connections are those to the store; nil for one that keeps none.
	Connections interface{ CloseIdleConnections() }
	// Log and Metrics take what operators should know.
	Log     *eventlog.Log
	Metrics tally.Scope
}
