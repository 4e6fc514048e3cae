package relay

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// listPatience is how long a gateway with a list of back ends waits for a peer without one
// to read its own. Gateways that start together read the same list from the store: telling
// each other all of it costs 90 bytes a back end and connection, and was most of what 299
// gateways before 2,982 back ends sent in their first five seconds (4.8 of 5.1 MB each).
// Higher values keep a peer that the store turns away waiting, unless it asks.
const listPatience = time.Second

// meeting settles what one gateway tells another of the back ends that either knew when
// they met; changes since then are told as they come. It does no I/O and reads no clock.
type meeting struct {
	// peer is what the other one knows, or nil while it has no list; asks is true when it
	// wants the list at once.
	peer catalog.Digest
	asks bool
	// listedAt is when this gateway has had a list since the two met, and settled is set
	// once the peer was told what it lacks.
	listedAt time.Time
	settled  bool
}

// hear takes a digest that the peer tells once it has a list.
func (m *meeting) hear(digest catalog.Digest) {
	m.peer = digest
	m.settled = false
}

// step tells what follows, while this gateway has a list: whether to tell what the peer
// lacks by its digest, and whether to tell the own digest, which is due once to a peer that
// was greeted without.
func (m *meeting) step(now time.Time, greetedWithList bool) (tellLacking, tellDigest bool) {
	if m.listedAt.IsZero() {
		m.listedAt = now
		tellDigest = !greetedWithList
	}
	if m.settled {
		return false, tellDigest
	}
	if m.peer == nil && !m.asks && now.Sub(m.listedAt) < listPatience {
		return false, tellDigest
	}
	m.settled = true
	return true, tellDigest
}
