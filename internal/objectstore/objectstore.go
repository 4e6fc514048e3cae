// Package objectstore defines the interface through which routers and agents use an object API and
// a machine list, a client for the product's own HTTP version of both, and the publication of
// bundles. Gateways follow their platform's store through internal/follower instead.
package objectstore

import (
	"context"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
)

// Object is one stored value.
type Object struct {
	// Value is at most 1 MiB.
	Value []byte
	// Version increases with every write; 0 means that there is no object.
	Version uint64
}

// Objects is the part of the object API that the system uses.
type Objects interface {
	// Get returns the object, or one with version 0 if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Watch waits until the object's version differs from after, or until the wait time has
	// passed, and returns the current object. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// Put writes the value if the object's version equals expected; 0 means that there must be
	// no object. Otherwise it fails with failure.Conflict. If it fails with
	// failure.PlatformUnavailable, the write may still have taken effect.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
}

// MachineList is the platform's list of live and leaving machines, which may be outdated.
type MachineList interface {
	Machines(ctx context.Context) ([]coordination.Machine, error)
}

// Client is the interface of the platform that a node uses.
type Client interface {
	Objects
	MachineList
}
