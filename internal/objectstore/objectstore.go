// Package objectstore is the narrow interface of routers and agents to an object
// API and a machine list, and a client for the product's own HTTP form of them.
// Gateways follow their platform's store through internal/follower instead.
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
	// Version rises with every write; 0 means that there is no object.
	Version uint64
}

// Objects is the part of the object API that the system needs.
type Objects interface {
	// Get returns the object, or one with version 0 when there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Watch waits until the object's version differs from after, or for the
	// given time, and returns the object as it is then. A waiting watch counts
	// as a call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// Put writes the value if the object's version is still expected; 0
	// expects that there is none. It fails with failure.Conflict otherwise.
	// After failure.PlatformUnavailable the write may have taken effect.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
}

// MachineList is the platform's lagging list of live and leaving machines.
type MachineList interface {
	Machines(ctx context.Context) ([]coordination.Machine, error)
}

// Client is all that a node needs of the platform.
type Client interface {
	Objects
	MachineList
}
