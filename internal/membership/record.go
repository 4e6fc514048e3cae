// Package membership maintains a node's view of the other nodes: which exist, their incarnations,
// whether they accept new work, and their loads. Nodes spread records by gossip; a newer record of
// a node replaces an older one.
//
// The package performs no I/O and reads no clock.
package membership

import "time"

// Role is the function of a node.
type Role uint8

// The values of Role.
const (
	// RoleAgent is an agent in front of one back end. Its ID is that of the back end.
	RoleAgent Role = iota
	// RoleRouter is a router, which accepts callers' requests.
	RoleRouter
)

// State is a node's lifecycle state.
type State uint8

// The values of State, in the order in which a node passes through them.
const (
	// StateServing nodes accept new work.
	StateServing State = iota
	// StateLeaving nodes accept no new work and finish what they have.
	StateLeaving
	// StateLeft nodes have stopped.
	StateLeft
)

// Incarnation identifies one run of a node by its start time, in tenths of a second since the start
// of 2025. It increases with every restart and fits into four bytes until 2038.
type Incarnation uint32

const (
	// incarnationEpoch is 2025-01-01 in Unix milliseconds.
	incarnationEpoch = 1735689600000
	// incarnationUnit is the unit of Incarnation in milliseconds.
	incarnationUnit = 100
)

// IncarnationAt returns the incarnation of a node that starts at the given time.
func IncarnationAt(start time.Time) Incarnation {
	return Incarnation((start.UnixMilli() - incarnationEpoch) / incarnationUnit)
}

// Record describes a node at one moment. Nodes create their own records and forward those of
// others; others may only advance the state (see Table.MarkLeaving).
type Record struct {
	_ struct{} `cbor:",toarray"`
	// ID is unique in the fleet.
	ID string
	// Role is the node's role.
	Role Role
	// State is the node's state.
	State State
	// Incarnation, State and Beat order the records of one node; see newer. Beat counts the
	// node's updates of its own record.
	Incarnation Incarnation
	Beat        uint32
	// Load is the number of an agent's accepted and unfinished requests.
	Load uint32
	// Number is the number of the node's bundle, or 0 if it has none.
	Number uint64
	// Address is the address of a router's peer listener. The bundle has those of agents.
	Address string
	// Zone is a router's zone. The bundle has those of agents.
	Zone string
	// AgeMillis is the age of the record when it was sent.
	AgeMillis uint32
}

// newer reports whether a replaces b. Within an incarnation a node's state only advances, so a
// later state takes precedence over any beat. Thus a node that learns from the machine list that
// another is leaving can mark it as leaving on its behalf.
func newer(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Beat > b.Beat
}
