package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// rememberedParts bounds the memory for prompt parts.
	maxRememberedParts = 16384
	// holdersPerPart is how many back ends are remembered for a part.
	maxHoldersPerPart = 8
	// holdingTime is how long a back end is believed to keep a part unused.
	holdingTTL = time.Minute
	// retellTime is how long a holding isn't told again while it is used. It is
	// short against holdingTime, so that peers don't forget what is in use.
	republishInterval = 20 * time.Second
	// leastTold is the length of a prompt, in tokens up to the end of its shared parts,
	// from which holders are told. Shorter ones are read in the time that a copy of
	// them takes to be set up; for them the order of members decides.
	minPublishedTokens = 1024
	// rememberedNews bounds the news that is kept for peers. A gateway that lags by
	// more misses some, and learns it when it is told again.
	maxHoldingUpdates = 4096
)

// partKey identifies a prompt part among gateways.
type partKey uint64

func keyOf(partID string) partKey { return partKey(xxhash.Sum64String(partID)) }

// Holdings are prompt parts that a back end was seen to have read.
type Holdings struct {
	// BackEnd is the back end's ID, and Born when its life began that read them.
	BackEnd string `cbor:"1,keyasint"`
	Born    int64  `cbor:"4,keyasint,omitempty"`
	// Parts are hashes of the parts' IDs, and Tokens the lengths of the prompts up to
	// their ends, or 0 for beginnings that many prompts share.
	Parts  []uint64 `cbor:"2,keyasint"`
	Tokens []int    `cbor:"3,keyasint"`
}

// holder is a back end that read a part.
type holder struct {
	backEnd catalog.Incarnation
	tokens  int
	usedAt  time.Time
	// toldAt is when the holding last became news.
	publishedAt time.Time
}

// holderMemory remembers which back ends read a prompt part, the latest first,
// from what this gateway sent and what its peers tell. It is a guess that ages: the
// part may have given way.
type holderMemory struct {
	parts *lru.Cache[partKey, []holder]
	// news are the latest holdings that peers may lack, in a ring; told counts all
	// of them so far.
	updates   [maxHoldingUpdates]holdingUpdate
	published uint64
	// held is the number of tokens that each back end is believed to hold.
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
		panic(err) // the size is fixed and above 0
	}
	h.parts = parts
	return h
}

// drop takes holders off the count of what back ends hold.
func (h *holderMemory) drop(list ...holder) {
	for _, each := range list {
		h.held[each.backEnd] -= each.tokens
		if h.held[each.backEnd] <= 0 {
			delete(h.held, each.backEnd)
		}
	}
}

// note takes a use of the part at the back end, seen here or told by a peer. What
// was news here within retellTime isn't passed on again, so that news crosses each
// link about once.
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

// prefixTokens marks the holding of a beginning that many prompts share. Its length is part
// of that of each of these.
const prefixTokens = 0

// notePrefix takes the back end as a holder of a beginning that many prompts share.
func (h *holderMemory) notePrefix(now time.Time, part partKey, backEnd catalog.Incarnation) {
	h.note(now, part, prefixTokens, backEnd)
}

// holding returns the back ends that are believed to keep the part, the latest
// used first.
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

// since returns at most so many news after the number, oldest first and grouped by
// back end, and the number to go on from.
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

// HoldingsSince returns at most so many holdings that peers may lack after the
// number, and the number to go on from. The first number is 0.
func (c *Core) HoldingsSince(cursor uint64, limit int) ([]Holdings, uint64) {
	if c.config.Disabled[ShareHoldings] {
		return nil, cursor
	}
	return c.holders.updatesSince(cursor, limit)
}

// PeerHoldings takes what a peer told.
func (c *Core) MergePeerHoldings(now time.Time, list []Holdings) {
	if c.config.Disabled[ShareHoldings] {
		return
	}
	for _, each := range list {
		for i, part := range each.Parts[:min(len(each.Parts), len(each.Tokens))] {
			key, tokens := partKey(part), max(0, each.Tokens[i])
			if tokens == prefixTokens && c.usableHolder(now, key, nil) != nil {
				continue // one is enough, so its news ends here
			}
			c.holders.note(now, key, tokens, catalog.Incarnation{ID: each.BackEnd, Born: each.Born})
		}
	}
}
