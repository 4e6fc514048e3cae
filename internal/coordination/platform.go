package coordination

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// platformState is the state of the calls to the platform.
type platformState struct {
	// reading is true while a read of the bundle object is outstanding.
	reading bool
	// version is the last known version of the bundle object.
	version uint64
	// notBefore is the earliest time of the next read of the bundle object.
	notBefore      time.Time
	backoff        time.Duration
	failures       uint64
	machinesReadAt time.Time
}

// readPlatform returns the platform calls that are due. Only watchers read the platform regularly.
// Any other node reads it only while it has no bundle and its peers have provided none.
func (n *Node) readPlatform(now time.Time) []Action {
	var actions []Action
	if (n.watcher || n.needsPlatform(now)) && !n.platform.reading && !now.Before(n.platform.notBefore) {
		n.platform.reading = true
		read := ReadPlatform{After: n.platform.version}
		if n.platform.version != 0 {
			read.Wait = n.config.WatchTimeout
		}
		actions = append(actions, read)
	}
	if n.watcher && now.Sub(n.platform.machinesReadAt) >= n.config.MachineListPeriod {
		n.platform.machinesReadAt = now
		actions = append(actions, ReadMachines{})
	}
	return actions
}

// needsPlatform reports whether a node that is not a watcher should read the platform: it has no
// bundle, the platform has not answered it yet, and it has waited for its peers. The wait depends
// on the node's ID, so that the nodes of a zone that comes back don't all call at once.
func (n *Node) needsPlatform(now time.Time) bool {
	if n.join.platformAnswered || n.Bundle() != nil {
		return false
	}
	jitter := time.Duration(n.hashFraction(0) * float64(n.config.JoinWait))
	return now.Sub(n.join.startedAt) >= n.config.JoinWait/2+jitter
}

// hashFraction returns a number in [0, 1) that is derived from the node's ID and the salt.
func (n *Node) hashFraction(salt uint64) float64 {
	hash := xxhash.Sum64String(n.identity.ID) ^ (salt * 0x9e3779b97f4a7c15)
	return float64(xxhash.Sum64([]byte{
		byte(hash), byte(hash >> 8), byte(hash >> 16), byte(hash >> 24),
		byte(hash >> 32), byte(hash >> 40), byte(hash >> 48), byte(hash >> 56),
	})>>11) / (1 << 53)
}

// isWatcher reports whether this node is one of the few routers in its zone that watch the
// platform. Each router decides from its own view. While views differ, there may be a few more or
// fewer watchers, which does no harm.
func (n *Node) isWatcher(now time.Time) bool {
	if n.identity.Role != membership.RoleRouter || n.state != membership.StateServing {
		return false
	}
	candidates := []string{n.identity.ID}
	n.table.Entries(func(entry *membership.Entry) {
		if entry.Role == membership.RoleRouter && entry.Zone == n.identity.Zone && n.table.Liveness(now, entry) == membership.Alive {
			candidates = append(candidates, entry.ID)
		}
	})
	for i, id := range routing.Rank("watch/"+n.identity.Zone, candidates) {
		if i >= n.config.WatchersPerZone {
			break
		}
		if id == n.identity.ID {
			return true
		}
	}
	return false
}

func (n *Node) platformBundle(now time.Time, event PlatformBundle) []Action {
	n.platform.reading = false
	n.platform.backoff = 0
	n.platform.failures = 0
	n.platform.version = event.Version
	n.join.platformAnswered = true
	if event.Unchanged {
		n.acceptor.Confirm(n.acceptor.Number(), event.RequestedAt)
		return nil
	}
	if event.Raw == nil {
		// Nothing has been published yet; a watcher reads again after one heartbeat period.
		n.platform.notBefore = now.Add(n.config.HeartbeatPeriod)
		return nil
	}
	return n.offerFromPlatform(now, event)
}

func (n *Node) offerFromPlatform(now time.Time, event PlatformBundle) []Action {
	opened, err := n.open(event.Raw)
	if err != nil {
		return n.reportRefusal("platform", err)
	}
	var actions []Action
	if err := n.accept(opened); err == nil {
		actions = append(actions, BundleAdopted{Bundle: opened})
	} else if opened.Number != n.acceptor.Number() {
		return n.reportRefusal("platform", err)
	}
	n.acceptor.Confirm(opened.Number, event.RequestedAt)
	return append(actions, n.gossip(now, true)...)
}

func (n *Node) accept(opened *bundle.Bundle) error {
	if n.config.AcceptAnyOrder {
		n.acceptor.ForceForMeasurement(opened)
		return nil
	}
	return n.acceptor.OfferOpened(opened)
}

// reportRefusal reports a refused bundle. A bundle from a peer that is merely not newer is not
// reported: it is the normal result of a race between two sources.
func (n *Node) reportRefusal(from string, err error) []Action {
	typed := failure.From(err)
	if typed.Kind == failure.StaleBundle && from != "platform" {
		return nil
	}
	return []Action{BundleRefused{From: from, Err: typed}}
}

// platformFailed delays the next read with exponential backoff and jitter, so that the nodes don't
// all call at once when an outage ends.
func (n *Node) platformFailed(now time.Time) {
	n.platform.reading = false
	n.platform.failures++
	n.platform.backoff = min(max(2*n.platform.backoff, n.config.PlatformBackoff), n.config.PlatformBackoffMax)
	jitter := 0.5 + n.hashFraction(n.platform.failures)
	n.platform.notBefore = now.Add(time.Duration(jitter * float64(n.platform.backoff)))
}

// machineList uses the list as a hint. Unknown routers in it that are not leaving are added and may
// be dialed. A known node that it shows as leaving is marked so, gets no new work, and learns of it
// by gossip. If it shows this node as leaving, the node leaves.
func (n *Node) machineList(now time.Time, event MachineList) {
	for _, machine := range event.Machines {
		if machine.ID == n.identity.ID {
			if machine.Leaving {
				n.advanceState(membership.StateLeaving)
			}
			continue
		}
		if machine.Leaving {
			n.table.MarkLeaving(machine.ID)
			continue
		}
		if machine.Role == membership.RoleRouter && n.table.Entry(machine.ID) == nil {
			n.addRouter(now, machine)
		}
	}
}

// addRouter adds a router from the list with the lowest incarnation, so that any record from the
// router itself replaces it.
func (n *Node) addRouter(now time.Time, machine Machine) {
	n.table.Merge(now, []membership.Record{{
		ID: machine.ID, Role: membership.RoleRouter, Address: machine.Address, Zone: machine.Zone,
	}})
}
