// Package collect lets every gateway of a large fleet know the loads of all of them,
// within a bounded time and for bytes that don't grow with the fleet's pairs.
//
// Each gateway tells its own counts to the collector of its group, a part of its zone,
// and gets back the sums over the whole fleet; collectors ask each other for their
// groups' sums. Nobody is elected: who collects is a function of the list of live
// gateways (Plan), and where two gateways' lists differ, each collector serves whoever
// comes. Sums is the state machine of a collector; Service is the shell, over WebSocket
// with CBOR.
package collect

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a live gateway.
type Gateway struct {
	ID string
	// Address is its listener for peers.
	Address string
	Zone    string
	// Capacity is its share of a processor, in hundredths of a core.
	Capacity int
}

// groupSize is the largest number of gateways that tell one collector. Larger groups
// cost a collector more, smaller ones make more collectors that ask each other.
const maxGroupSize = 32

// Group is the gateways of one zone that tell the same collector.
type Group struct {
	// Zone and Number name it.
	Zone   string
	Number int
	// Members are its gateways. The first one that answers collects.
	Members []Gateway
}

// Plan is who collects for whom, as one gateway sees it.
type Plan struct {
	// Own is this gateway's group, and Others are the others.
	Own    Group
	Others []Group
}

// NewPlan returns the plan of the gateway among all live ones, itself included.
func NewPlan(self string, live []Gateway) Plan {
	byZone := map[string][]Gateway{}
	for _, each := range live {
		byZone[each.Zone] = append(byZone[each.Zone], each)
	}
	var plan Plan
	for zone, members := range byZone {
		for _, group := range groupsOf(zone, members) {
			if group.has(self) {
				plan.Own = group
			} else {
				plan.Others = append(plan.Others, group)
			}
		}
	}
	slices.SortFunc(plan.Others, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
	})
	return plan
}

// groupsOf divides a zone's gateways, so that the largest ones collect and each group
// has some of them. Equals are in hash order, which all gateways agree on.
func groupsOf(zone string, members []Gateway) []Group {
	slices.SortFunc(members, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	groups := make([]Group, (len(members)+maxGroupSize-1)/maxGroupSize)
	for i, member := range members {
		group := &groups[i%len(groups)]
		group.Zone, group.Number = zone, i%len(groups)
		group.Members = append(group.Members, member)
	}
	return groups
}

func (g Group) has(id string) bool {
	return slices.ContainsFunc(g.Members, func(each Gateway) bool { return each.ID == id })
}

// key names the group among all.
func (g Group) key() string { return fmt.Sprint(g.Zone, "/", g.Number) }
