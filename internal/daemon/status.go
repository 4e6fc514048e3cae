package daemon

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// Status is a node's view of the fleet, served by its admin listener at /status.
type Status struct {
	// Node is the ID of the answering node, Role its role, and Ready whether it accepts
	// new work.
	Node  string `json:"node"`
	Role  string `json:"role"`
	Ready bool   `json:"ready"`
	// Bundle is the number of the bundle in force, and Note the operator's note in it.
	Bundle uint64 `json:"bundle"`
	Note   string `json:"note,omitempty"`
	// ConfirmedSeconds is the time since the bundle was last confirmed to be the newest;
	// -1 if it never was.
	ConfirmedSeconds float64 `json:"confirmed_seconds"`
	// Links is the number of control connections.
	Links int `json:"links"`
	// Routers are the known routers, including the node itself if it is one.
	Routers []NodeStatus `json:"routers"`
	// Pools are the bundle's pools.
	Pools []PoolStatus `json:"pools"`
}

// PoolStatus is a pool with its members.
type PoolStatus struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Mean is the mean load of the members that are serving.
	Mean    float64      `json:"mean_load"`
	Members []NodeStatus `json:"members"`
}

// NodeStatus is what the answering node knows about a node.
type NodeStatus struct {
	ID string `json:"id"`
	// Health is serving, flapping, doubtful, leaving or unknown.
	Health string `json:"health"`
	Zone   string `json:"zone,omitempty"`
	// Bundle is the number of the bundle that the node had in force, and Load its load.
	Bundle uint64 `json:"bundle"`
	Load   uint32 `json:"load"`
	// AgeSeconds is the age of this information.
	AgeSeconds float64 `json:"age_seconds"`
}

// statusOf returns the status of a node as seen by itself.
func statusOf(now time.Time, node *coordination.Node, ready bool) Status {
	self := node.Table().Self()
	status := Status{Node: self.ID, Role: roleName(self.Role), Ready: ready, ConfirmedSeconds: -1, Links: node.Links()}
	if age, ok := node.ConfirmedAge(now); ok {
		status.ConfirmedSeconds = age.Seconds()
	}
	if self.Role == membership.RoleRouter {
		status.Routers = append(status.Routers, ownStatus(self))
	}
	node.Table().Entries(func(entry *membership.Entry) {
		if entry.Role == membership.RoleRouter {
			status.Routers = append(status.Routers, nodeStatus(now, node.Table(), entry))
		}
	})
	current := node.Bundle()
	if current == nil {
		return status
	}
	status.Bundle = current.Number
	status.Note = current.Note
	for i := range current.Content.Pools {
		pool := &current.Content.Pools[i]
		poolStatus := PoolStatus{Name: pool.Name, Kind: string(pool.Kind)}
		total, known := 0.0, 0
		for _, backEnd := range pool.BackEnds {
			member := memberStatus(now, node.Table(), backEnd.ID)
			member.Zone = backEnd.Zone
			if member.Health == healthServing {
				total += float64(member.Load)
				known++
			}
			poolStatus.Members = append(poolStatus.Members, member)
		}
		if known > 0 {
			poolStatus.Mean = total / float64(known)
		}
		status.Pools = append(status.Pools, poolStatus)
	}
	return status
}

// Values of NodeStatus.Health.
const (
	healthServing  = "serving"
	healthFlapping = "flapping"
	healthDoubtful = "doubtful"
	healthLeaving  = "leaving"
	healthUnknown  = "unknown"
)

func roleName(role membership.Role) string {
	if role == membership.RoleRouter {
		return "router"
	}
	return "agent"
}

func memberStatus(now time.Time, table *membership.Table, id string) NodeStatus {
	if self := table.Self(); self.ID == id {
		return ownStatus(self)
	}
	if entry := table.Entry(id); entry != nil {
		return nodeStatus(now, table, entry)
	}
	return NodeStatus{ID: id, Health: healthUnknown}
}

func ownStatus(self membership.Record) NodeStatus {
	health := healthServing
	if self.State != membership.StateServing {
		health = healthLeaving
	}
	return NodeStatus{ID: self.ID, Health: health, Zone: self.Zone, Bundle: self.Number, Load: self.Load}
}

func nodeStatus(now time.Time, table *membership.Table, entry *membership.Entry) NodeStatus {
	status := NodeStatus{
		ID: entry.ID, Zone: entry.Zone, Bundle: entry.Number, Load: entry.Load,
		AgeSeconds: now.Sub(entry.RecordedAt).Seconds(), Health: healthDoubtful,
	}
	switch table.Liveness(now, entry) {
	case membership.Alive:
		status.Health = healthServing
	case membership.Flapping:
		status.Health = healthFlapping
	case membership.Leaving:
		status.Health = healthLeaving
	}
	return status
}
