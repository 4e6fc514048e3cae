package coordination

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// Event is something that happened to the node.
type Event interface{ isEvent() }

// Tick comes once every tick period.
type Tick struct{}

// LinkUp is a new connection with a peer.
type LinkUp struct {
	Link LinkID
	// Peer is the other node.
	Peer string
	// Dialed is true on the side that opened the connection.
	Dialed bool
}

// LinkDown ends a connection, or reports that one could not be made.
type LinkDown struct {
	// Link is 0 when the connection was never made.
	Link LinkID
	// Address is set when dialing failed.
	Address string
	// Peer is the other node, if known.
	Peer string
}

// Received is a message from a peer.
type Received struct {
	Link    LinkID
	Message Message
}

// LocalLoad is the agent's present load.
type LocalLoad struct{ Load uint32 }

// LocalState is the node's own decision to leave or to stop.
type LocalState struct{ State membership.State }

// RecordsHeard is news that came with a request or an answer.
type PiggybackedRecords struct {
	Records []membership.Record
	// Number is the sender's bundle number.
	Number uint64
	// ContactAge is how long ago the sender heard from its peers.
	ContactAge time.Duration
}

// Unreachable says that a request could not be sent to the node.
type NodeUnreachable struct{ ID string }

// AnsweredLeaving says that the node refused a request since it is leaving.
type NodeLeaving struct{ ID string }

// PlatformBundle is the platform's answer to ReadPlatform.
type PlatformBundle struct {
	// Raw is the stored bundle; nil when there is none.
	Raw []byte
	// Unchanged says that the version named in the read is still the newest.
	Unchanged bool
	// Version is the object's version.
	Version uint64
	// AskedAt is when the read was sent: the answer was true at some moment
	// after it.
	RequestedAt time.Time
}

// PlatformFailed says that ReadPlatform got no answer.
type PlatformFailed struct{}

// Machine is an entry of the platform's machine list.
type Machine struct {
	// ID is the node on the machine.
	ID string
	// Role is the node's role.
	Role membership.Role
	// Address is the node's peer listener.
	Address string
	// Zone is the machine's zone.
	Zone string
	// Leaving says that the machine will stop.
	Leaving bool
}

// MachineList is the platform's list of live and leaving machines, which lags.
type MachineList struct{ Machines []Machine }

func (Tick) isEvent()               {}
func (LinkUp) isEvent()             {}
func (LinkDown) isEvent()           {}
func (Received) isEvent()           {}
func (LocalLoad) isEvent()          {}
func (LocalState) isEvent()         {}
func (PiggybackedRecords) isEvent() {}
func (NodeUnreachable) isEvent()    {}
func (NodeLeaving) isEvent()        {}
func (PlatformBundle) isEvent()     {}
func (PlatformFailed) isEvent()     {}
func (MachineList) isEvent()        {}

// Action is something that the owner of the node must do.
type Action interface{ isAction() }

// Send sends a message on a link.
type Send struct {
	Link    LinkID
	Message Message
}

// Connect dials a peer.
type Connect struct {
	Address string
	// Peer is the expected node; "" for a seed.
	Peer string
}

// Disconnect closes a link.
type Disconnect struct{ Link LinkID }

// ReadPlatform reads the bundle object. The answer comes as PlatformBundle or
// PlatformFailed.
type ReadPlatform struct {
	// After is the version already known; 0 reads at once.
	After uint64
	// Wait is how long to wait for a version other than After.
	Wait time.Duration
}

// ReadMachines reads the machine list. The answer comes as MachineList; a
// failure needs no answer.
type ReadMachines struct{}

// Adopt says that a new bundle is in force.
type BundleAdopted struct{ Bundle *bundle.Bundle }

// RefusedBundle says that a bundle was refused; the old one stays in force.
type BundleRefused struct {
	// From is the peer that sent it, or "platform".
	From string
	Err  *failure.Error
}

func (Send) isAction()          {}
func (Connect) isAction()       {}
func (Disconnect) isAction()    {}
func (ReadPlatform) isAction()  {}
func (ReadMachines) isAction()  {}
func (BundleAdopted) isAction() {}
func (BundleRefused) isAction() {}
