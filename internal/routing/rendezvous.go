// Package routing decides which back end gets a request, by rendezvous hashing and
// the chat token, and which one is tried next after a refusal.
//
// The package does no I/O and reads no clock.
package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a member for a key, from the xxhash sums
// of both. Hashing the two sums together means that the key is hashed only once for
// all members.
func Weight(keyHash, memberHash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], keyHash)
	binary.LittleEndian.PutUint64(pair[8:], memberHash)
	return xxhash.Sum64(pair[:])
}

// Owner returns the member with the highest rendezvous weight for the key, or "" if
// there are no members. Ties go to the smaller name.
func Owner(key string, members []string) string {
	keyHash := xxhash.Sum64String(key)
	owner := ""
	var best uint64
	for _, member := range members {
		weight := Weight(keyHash, xxhash.Sum64String(member))
		if owner == "" || weight > best || weight == best && member < owner {
			owner, best = member, weight
		}
	}
	return owner
}

// Rank returns the members by descending rendezvous weight for the key. When a
// member joins or leaves, the relative order of the others doesn't change.
func Rank(key string, members []string) []string {
	type weighted struct {
		member string
		weight uint64
	}
	keyHash := xxhash.Sum64String(key)
	list := make([]weighted, len(members))
	for i, member := range members {
		list[i] = weighted{member, Weight(keyHash, xxhash.Sum64String(member))}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if order := cmp.Compare(b.weight, a.weight); order != 0 {
			return order
		}
		return cmp.Compare(a.member, b.member)
	})
	ranked := make([]string, len(list))
	for i, entry := range list {
		ranked[i] = entry.member
	}
	return ranked
}
