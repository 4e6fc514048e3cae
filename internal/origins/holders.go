package origins

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// Gateway is a live gateway.
type Gateway struct {
	ID string
	// Address is the address of its listener for peers.
	Address string
}

const (
	// maxGroupSize is the mean size up to which a group isn't divided. A gateway keeps connections
	// to the others of its group.
	maxGroupSize = 32
	// replicas is the number of other gateways that keep a record. Two gateways of a fleet are often
	// replaced or lost at the same moment, and one of them is the one that began the stream.
	replicas = 2
	// asked is the number of gateways of a group that are asked for a record: those that keep it, the
	// one that began the stream, which may come before them in the order, and one that has joined
	// since.
	asked = replicas + 2
	// lossShare is such that a fleet that was larger by one part in lossShare still counts: a zone may
	// have been lost.
	lossShare = 4
)

// groupCount returns the number of groups of a fleet. It is a power of two, so that a fleet that grows
// divides groups and moves no gateway between others.
func groupCount(gateways int) uint64 {
	count := uint64(1)
	for gateways > int(count)*maxGroupSize {
		count *= 2
	}
	return count
}

func groupOf(id string, groups uint64) uint64 { return xxhash.Sum64String(id) % groups }

// holders returns the gateways at which self keeps the records with the key: the first ones, in
// rendezvous order, of the others of its group.
func holders(key dispatch.OriginKey, self string, live []Gateway) []Gateway {
	groups := groupCount(len(live))
	return firstInOrder(key, replicas, members(groupOf(self, groups), groups, self, live))
}

// candidates returns the gateways that may have a record with the key: the first few of every group. A
// record was kept when the fleet may have been larger, and had more groups. The first of a group that has
// been divided since are also among the first of its parts.
func candidates(key dispatch.OriginKey, self string, live []Gateway) []Gateway {
	var all []Gateway
	groups := groupCount(len(live) + len(live)/lossShare + replicas)
	for group := range groups {
		all = append(all, firstInOrder(key, asked, members(group, groups, self, live))...)
	}
	return all
}

// members returns the live gateways of the group without self.
func members(group, groups uint64, self string, live []Gateway) []Gateway {
	var list []Gateway
	for _, each := range live {
		if each.ID != self && groupOf(each.ID, groups) == group {
			list = append(list, each)
		}
	}
	return list
}

// firstInOrder returns the first count gateways in the rendezvous order of the key. It sorts the list.
func firstInOrder(key dispatch.OriginKey, count int, list []Gateway) []Gateway {
	weight := func(g Gateway) uint64 { return routing.Weight(uint64(key), xxhash.Sum64String(g.ID)) }
	slices.SortFunc(list, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(count, len(list))]
}
