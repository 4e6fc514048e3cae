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

// ErrHistoryGone means that a watch can't continue from its position because the store no longer
// has the history since then.
var ErrHistoryGone = errors.New("the store has dropped the history since the position")

// ErrConflict means that an object has changed since it was read.
var ErrConflict = errors.New("the object has changed in the store")

// Objects gives access to the objects of one kind in the platform's store.
type Objects[T any] struct {
	// List returns all objects and the position of the list. If stale is true, the list may be
	// seconds old, which costs the store less. It makes one call for each page; see ReadList.
	List func(ctx context.Context, stale bool) ([]T, catalog.Position, error)
	// Watch waits for changes after the position. It returns the changes, or none if there were
	// none within the wait, and the position to continue from.
	Watch func(ctx context.Context, after catalog.Position, wait time.Duration) ([]T, catalog.Position, error)
}

// Source is the platform's store.
type Source interface {
	// Configurations returns the operators' configurations, as a rule one. Objects of this kind
	// that aren't configurations are nil.
	Configurations() Objects[*catalog.Configuration]
	// BackEnds returns the registered back ends.
	BackEnds() Objects[catalog.Entry]
	// Evacuations returns the operators' evacuation orders, and Rollouts their orders to move
	// services to other versions.
	Evacuations() Objects[catalog.Evacuation]
	Rollouts() Objects[catalog.Rollout]
	// WriteRollout writes the state of an order if the order is still at the record's position,
	// and returns the written record. If it isn't, WriteRollout returns ErrConflict.
	WriteRollout(ctx context.Context, rollout catalog.Rollout) (catalog.Rollout, error)
	// Withheld returns the records of withheld requests. Withhold adds a record unless it exists,
	// and Release removes a record if it exists.
	Withheld(ctx context.Context) ([]dispatch.CrashRecord, error)
	Withhold(ctx context.Context, record dispatch.CrashRecord) error
	Release(ctx context.Context, fingerprint dispatch.Fingerprint) error
	// SettledServices returns the records of settled services. If stale is true, they may be seconds old, which
	// costs the store less. RecordSettled adds a record unless it
	// exists, and RemoveSettled removes one if it exists.
	SettledServices(ctx context.Context, stale bool) ([]dispatch.SettledService, error)
	RecordSettled(ctx context.Context, settled dispatch.SettledService) error
	RemoveSettled(ctx context.Context, settled dispatch.SettledService) error
}

// Config configures a Follower.
type Config struct {
	// Source is the store.
	Source Source
	// State receives what is read.
	State *gateway.State
	// ReadPeriod is the time between two plain reads of the same list by any of the readers if
	// there are two lists; with three lists that time is half as long again. The longer it is, the
	// longer a change may go unnoticed while a watch receives nothing. Each read is a call to the
	// store.
	ReadPeriod time.Duration
	// Evacuations is true if operators may evacuate zones.
	Evacuations bool
	// Rollouts is true if operators may move services to other versions.
	Rollouts bool
	// FirstStart is true if the fleet starts for the first time, so that there are no withheld
	// requests and no recent restorations to read. It is believed only while the store has no record of an
	// earlier start.
	FirstStart bool
	// PeersFirst is true if other gateways that start at the same time read the store at once and
	// send updates. This gateway then reads the store only if the updates don't arrive in time.
	PeersFirst bool
	// Connections closes the idle connections to the store; nil if none are kept.
	Connections interface{ CloseIdleConnections() }
	// Log and Metrics record events for operators.
	Log     *eventlog.Log
	Metrics tally.Scope
}
