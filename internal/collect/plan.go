// Package collect gives every gateway of a large fleet the summed loads of all of them, within a
// bounded time and without traffic that grows with the number of pairs of gateways.
//
// Each gateway reports its own counts to the collector of its group, a part of its zone, and gets
// back the totals of the whole fleet. Collectors query each other for the totals of their groups.
// There is no election: which gateway collects is a function of the list of live gateways (Plan),
// and where the lists of two gateways differ, each collector serves every gateway that queries it.
// Aggregator is the state machine of a collector. Service runs it, over WebSocket with CBOR.
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
	// Address is the address of its listener for peers.
	Address string
	Zone    string
	// Capacity is its share of a processor, in hundredths of a core.
	Capacity int
}

// maxGroupSize is the maximum number of gateways that report to one collector. Larger groups cost a
// collector more; smaller ones make more collectors that query each other.
const maxGroupSize = 32

// Group is a set of gateways of one zone that report to the same collector.
type Group struct {
	// Zone and Number identify the group.
	Zone   string
	Number int
	// Members are its gateways. The first one that answers is the collector.
	Members []Gateway
}

// Plan assigns gateways to groups and thereby to collectors, as one gateway sees it.
type Plan struct {
	// Own is this gateway's group, and Others are the other groups.
	Own    Group
	Others []Group
}

// NewPlan returns the plan of the gateway self among all live ones, which include it.
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

// groupsOf divides the gateways of a zone into groups. The gateways with the largest capacity come
// first and are spread over the groups, so that they become the collectors. Gateways of equal
// capacity are in hash order, on which all gateways agree.
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

// key identifies the group among all groups.
func (g Group) key() string { return fmt.Sprint(g.Zone, "/", g.Number) }
