package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// maxRememberedParts bounds the number of prompt parts whose holders are remembered.
	maxRememberedParts = 16384
	// maxHoldersPerPart bounds the back ends remembered for a part.
	maxHoldersPerPart = 8
	// holdingTTL is how long a back end is assumed to hold a part that isn't used.
	holdingTTL = time.Minute
	// republishInterval is the minimum time between two publications of a holding that is in
	// use. It is short compared with holdingTTL, so that peers don't forget holdings in use.
	republishInterval = 20 * time.Second
	// minPublishedTokens is the length of a prompt, in tokens up to the end of its shared parts,
	// from which its holders are published. Prefilling a shorter prompt takes no longer than
	// setting up a copy; shorter prompts are placed by rendezvous order.
	minPublishedTokens = 1024
	// maxHoldingUpdates bounds the updates kept for peers. A gateway that lags further behind
	// misses some, and learns of these holdings when they are published again.
	maxHoldingUpdates = 4096
)

// partKey identifies a prompt part among gateways.
type partKey uint64

func keyOf(partID string) partKey { return partKey(xxhash.Sum64String(partID)) }

// Holdings lists prompt parts that a back end was seen to have prefilled.
type Holdings struct {
	// BackEnd is the back end's ID, and Born the start time of the incarnation.
	BackEnd string `cbor:"1,keyasint"`
	Born    int64  `cbor:"4,keyasint,omitempty"`
	// Parts are hashes of the parts' IDs. Tokens are the lengths of the prompts up to the end
	// of each part, or 0 for prefixes that many prompts share.
	Parts  []uint64 `cbor:"2,keyasint"`
	Tokens []int    `cbor:"3,keyasint"`
}

// holder is a back end that prefilled a part.
type holder struct {
	backEnd catalog.Incarnation
	tokens  int
	usedAt  time.Time
	// publishedAt is when the holding was last published.
	publishedAt time.Time
}

// holderMemory remembers which back ends prefilled a prompt part, the most recent first, from
// this gateway's own requests and from its peers' reports. Entries expire, since a back end
// may have evicted the part from its cache.
type holderMemory struct {
	parts *lru.Cache[partKey, []holder]
	// updates is a ring buffer of the latest holdings that peers may lack; published is the
	// number of all updates so far.
	updates   [maxHoldingUpdates]holdingUpdate
	published uint64
	// held is the number of tokens that each back end is assumed to hold.
	held map[catalog.Incarnation]int
}

type holdingUpdate struct {
	part    partKey
	backEnd catalog.Incarnation
	tokens  int
}

func newHolderMemory() *holderMemory {
	h := &holderMemory{held: map[catalog.Incarnation]int{}}
	parts, err := lru.NewWithEvict(maxRememberedParts, func(_ partKey, list []holder) { h.drop(list...) })
	if err != nil {
		panic(err) // the size is constant and positive
	}
	h.parts = parts
	return h
}

// drop subtracts holders from the tokens that back ends are assumed to hold.
func (h *holderMemory) drop(list ...holder) {
	for _, each := range list {
		h.held[each.backEnd] -= each.tokens
		if h.held[each.backEnd] <= 0 {
			delete(h.held, each.backEnd)
		}
	}
}

// note records a use of the part at the back end, observed here or reported by a peer. What
// was published here within republishInterval isn't passed on again, so that an update
// crosses each link about once.
func (h *holderMemory) note(now time.Time, part partKey, tokens int, backEnd catalog.Incarnation) {
	known, _ := h.parts.Get(part)
	used := holder{backEnd: backEnd, tokens: tokens, usedAt: now}
	list := make([]holder, 1, min(len(known)+1, maxHoldersPerPart))
	for _, other := range known {
		switch {
		case other.backEnd == backEnd:
			used.publishedAt = other.publishedAt
			h.drop(other)
		case now.Sub(other.usedAt) < holdingTTL && len(list) < maxHoldersPerPart:
			list = append(list, other)
		default:
			h.drop(other)
		}
	}
	h.held[backEnd] += tokens
	isPublishable := tokens >= minPublishedTokens || tokens == prefixTokens
	if isPublishable && (used.publishedAt.IsZero() || now.Sub(used.publishedAt) >= republishInterval) {
		used.publishedAt = now
		h.updates[h.published%maxHoldingUpdates] = holdingUpdate{part: part, backEnd: backEnd, tokens: tokens}
		h.published++
	}
	list[0] = used
	h.parts.Add(part, list)
}

// prefixTokens marks the holding of a prefix that many prompts share. Its length is already
// included in the length of each of these prompts.
const prefixTokens = 0

// notePrefix records the back end as a holder of a prefix that many prompts share.
func (h *holderMemory) notePrefix(now time.Time, part partKey, backEnd catalog.Incarnation) {
	h.note(now, part, prefixTokens, backEnd)
}

// holdersOf returns the back ends that are assumed to hold the part, the most recently used
// first.
func (h *holderMemory) holdersOf(now time.Time, part partKey) []catalog.Incarnation {
	known, _ := h.parts.Get(part)
	var backEnds []catalog.Incarnation
	for _, each := range known {
		if now.Sub(each.usedAt) < holdingTTL {
			backEnds = append(backEnds, each.backEnd)
		}
	}
	return backEnds
}

// holds reports whether the back end is assumed to hold the part, and whether any back end is known
// to.
func (h *holderMemory) holds(now time.Time, part partKey, backEnd catalog.Incarnation) (isHeld, isKnown bool) {
	known, _ := h.parts.Peek(part)
	for _, each := range known {
		if now.Sub(each.usedAt) < holdingTTL {
			isKnown = true
			isHeld = isHeld || backEnd.Matches(each.backEnd)
		}
	}
	return isHeld, isKnown
}

// updatesSince returns at most limit updates after the cursor, oldest first and grouped by back
// end, and the next cursor.
func (h *holderMemory) updatesSince(cursor uint64, limit int) ([]Holdings, uint64) {
	if h.published > maxHoldingUpdates {
		cursor = max(cursor, h.published-maxHoldingUpdates)
	}
	end := min(h.published, cursor+uint64(limit))
	var list []Holdings
	index := map[catalog.Incarnation]int{}
	for ; cursor < end; cursor++ {
		each := h.updates[cursor%maxHoldingUpdates]
		at, known := index[each.backEnd]
		if !known {
			at = len(list)
			index[each.backEnd] = at
			list = append(list, Holdings{BackEnd: each.backEnd.ID, Born: each.backEnd.Born})
		}
		list[at].Parts = append(list[at].Parts, uint64(each.part))
		list[at].Tokens = append(list[at].Tokens, each.tokens)
	}
	return list, end
}

// HoldingsSince returns at most limit holdings that were published after the cursor, and the
// next cursor. The first cursor is 0.
func (c *Core) HoldingsSince(cursor uint64, limit int) ([]Holdings, uint64) {
	if c.config.Disabled[ShareHoldings] {
		return nil, cursor
	}
	return c.holders.updatesSince(cursor, limit)
}

// MergePeerHoldings merges the holdings that a peer reported.
func (c *Core) MergePeerHoldings(now time.Time, list []Holdings) {
	if c.config.Disabled[ShareHoldings] {
		return
	}
	for _, each := range list {
		for i, part := range each.Parts[:min(len(each.Parts), len(each.Tokens))] {
			key, tokens := partKey(part), max(0, each.Tokens[i])
			if tokens == prefixTokens && c.usableHolder(now, key, nil) != nil {
				continue // one holder is enough, so this update isn't passed on
			}
			c.holders.note(now, key, tokens, catalog.Incarnation{ID: each.BackEnd, Born: each.Born})
		}
	}
}
