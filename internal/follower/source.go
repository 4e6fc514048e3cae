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

// ErrHistoryGone means that a watch can't go on from its position.
var ErrHistoryGone = errors.New("the store has dropped that part of its history")

// ErrChanged means that an object isn't any more as it was known.
var ErrConflict = errors.New("the object has changed in the store")

// Objects are those of one kind in the platform's store.
type Objects[T any] struct {
	// List returns all and the position of the list. Where stale is allowed, it may be seconds
	// old, and costs the store less. It takes a call for each page; see ReadList.
	List func(ctx context.Context, stale bool) ([]T, catalog.Position, error)
	// Await waits for changes after the position. It returns none when there was none in time,
	// and the position to go on from.
	Watch func(ctx context.Context, after catalog.Position, wait time.Duration) ([]T, catalog.Position, error)
}

// Source is the platform's store.
type Source interface {
	// Configurations are the operators' documents, as a rule one; nil for objects of their kind
	// that aren't one.
	Configurations() Objects[*catalog.Configuration]
	// BackEnds are those that register.
	BackEnds() Objects[catalog.Entry]
	// Evacuations are the operators' orders on zones, and Rollouts those to move services to
	// other versions.
	Evacuations() Objects[catalog.Evacuation]
	Rollouts() Objects[catalog.Rollout]
	// WriteRollout writes how far an order has come, if it is still at the record's position;
	// it returns ErrChanged where it isn't.
	WriteRollout(ctx context.Context, rollout catalog.Rollout) (catalog.Rollout, error)
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
	// Rollouts is true where operators may move services to other versions.
	Rollouts bool
	// FirstStart is true when the fleet starts for the first time, so that nothing came
	// before.
	FirstStart bool
	// PeersFirst is true where others that start at the same time read the store at once and
	// tell: this gateway reads it by itself only when they haven't told it all in time.
	PeersFirst bool
	// Connections are those to the store; nil for one that keeps none.
	Connections interface{ CloseIdleConnections() }
	// Log and Metrics take what operators should know.
	Log     *eventlog.Log
	Metrics tally.Scope
}
