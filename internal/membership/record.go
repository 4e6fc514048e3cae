// Package membership keeps each node's view of the others: who is there, in
// which incarnation, whether it takes new work, and how loaded it is. Nodes
// spread records by gossip; a newer record of a node replaces an older one.
//
// The package does no I/O and reads no clock.
package membership

import "time"

// Role tells what a node does.
type Role uint8

// The roles.
const (
	// RoleAgent stands before one back end; the record's ID is the back end's.
	RoleAgent Role = iota
	// RoleRouter takes callers' requests.
	RoleRouter
)

// State is what a node says about itself.
type State uint8

// The states, in the order in which a node passes through them.
const (
	// StateServing takes new work.
	StateServing State = iota
	// StateLeaving takes no new work and finishes what it has.
	StateLeaving
	// StateLeft has stopped.
	StateLeft
)

// Incarnation counts tenths of a second since 2025 at a node's start. It fits
// four bytes until 2038 and rises with every restart.
type Incarnation uint32

// incarnationEpoch is 2025-01-01 in Unix milliseconds.
const (
	incarnationEpoch = 1735689600000
	incarnationUnit  = 100
)

// IncarnationAt returns the incarnation of a node that starts at the time.
func IncarnationAt(start time.Time) Incarnation {
	return Incarnation((start.UnixMilli() - incarnationEpoch) / incarnationUnit)
}

// Record is what a node says about itself at one moment.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// ID is unique in the fleet.
	ID string
	// Role is the node's role.
	Role Role
	// State is the node's own word.
	State State
	// Incarnation, State and Beat order a node's records; see newer.
	Incarnation Incarnation
	Beat        uint32
	// Load is an agent's accepted and unfinished requests.
	Load uint32
	// Number is the number of the node's bundle.
	Number uint64
	// Address is the peer listener of a router; agents' addresses stand in the
	// bundle.
	Address string
	// Zone is a router's zone; agents' zones stand in the bundle.
	Zone string
	// AgeMillis is how old the record was when it was sent.
	AgeMillis uint32
}

// newer tells whether a replaces b. Within an incarnation a node's state only
// advances, so a later state wins over any beat: whoever learns from the machine
// list that a node is leaving can say so for it.
func newer(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Beat > b.Beat
}
