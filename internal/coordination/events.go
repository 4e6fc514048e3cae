package coordination

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// Event is an input of the node's state machine.
type Event interface{ isEvent() }

// Tick occurs once every Config.TickPeriod.
type Tick struct{}

// LinkUp reports a new connection to a peer.
type LinkUp struct {
	Link LinkID
	// Peer is the ID of the other node.
	Peer string
	// Dialed is true on the side that opened the connection.
	Dialed bool
}

// LinkDown reports that a connection ended or could not be opened.
type LinkDown struct {
	// Link is 0 if the connection was never opened.
	Link LinkID
	// Address is the dialed address if dialing failed.
	Address string
	// Peer is the ID of the other node, if known.
	Peer string
}

// Received is a message received from a peer.
type Received struct {
	Link    LinkID
	Message Message
}

// LocalLoad reports the agent's current load.
type LocalLoad struct{ Load uint32 }

// LocalState reports the node's own decision to leave or to stop.
type LocalState struct{ State membership.State }

// PiggybackedRecords holds membership records that arrived with a request or an answer.
type PiggybackedRecords struct {
	Records []membership.Record
	// Number is the number of the sender's bundle.
	Number uint64
	// ContactAge is how long ago the sender last heard from any of its peers.
	ContactAge time.Duration
}

// NodeUnreachable reports that a connection to the node could not be opened or was lost, as this
// node or another one has observed.
type NodeUnreachable struct{ ID string }

// NodeLeaving reports that the node refused a request because it is leaving.
type NodeLeaving struct{ ID string }

// PlatformBundle is the platform's answer to ReadPlatform.
type PlatformBundle struct {
	// Raw is the stored bundle, or nil if there is none.
	Raw []byte
	// Unchanged is true if the version named in the read is still the newest.
	Unchanged bool
	// Version is the object's version.
	Version uint64
	// RequestedAt is when the read was sent. The answer was correct at some moment after it, so a
	// confirmation with this time is never dated too late.
	RequestedAt time.Time
}

// PlatformFailed reports that ReadPlatform got no answer.
type PlatformFailed struct{}

// Machine is an entry in the platform's machine list.
type Machine struct {
	// ID is the ID of the node on the machine.
	ID string
	// Role is the node's role.
	Role membership.Role
	// Address is the address of the node's peer listener.
	Address string
	// Zone is the machine's zone.
	Zone string
	// Leaving is true if the machine will stop.
	Leaving bool
}

// MachineList is the platform's list of running and leaving machines. It may be out of date.
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

// Action is an output of the node's state machine, for the owner of the node to perform.
type Action interface{ isAction() }

// Send sends a message on a link.
type Send struct {
	Link    LinkID
	Message Message
}

// Connect opens a connection to a peer.
type Connect struct {
	Address string
	// Peer is the ID of the expected node, or "" for a seed.
	Peer string
}

// Disconnect closes a link.
type Disconnect struct{ Link LinkID }

// ReadPlatform reads the bundle object. The result is a PlatformBundle or PlatformFailed event.
type ReadPlatform struct {
	// After is the version already known, or 0 to read at once.
	After uint64
	// Wait is how long to wait for a version other than After.
	Wait time.Duration
}

// ReadMachines reads the machine list. The result is a MachineList event; a failure is not
// reported.
type ReadMachines struct{}

// BundleAdopted reports that a new bundle is in force.
type BundleAdopted struct{ Bundle *bundle.Bundle }

// BundleRefused reports that a bundle was refused; the old one stays in force.
type BundleRefused struct {
	// From is the ID of the peer that sent it, or "platform".
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
