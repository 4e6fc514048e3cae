package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// A request that crashes the back ends which run it is withheld by all gateways once three
// have crashed under its content. A break alone proves no crash, and most requests that are
// under way at a crash have nothing to do with it. So a break doesn't count if the back end
// answers anything later, nor if it was about to leave, and none does if the content is ever
// answered whole.

// CrashRecord is what a gateway tells of the crashes under requests of one content.
type CrashRecord struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Incarnations are the back ends that may have crashed under it, and Evidence what is
	// known of each.
	Incarnations []uint32 `cbor:"2,keyasint"`
	Evidence     []uint8  `cbor:"3,keyasint"`
	// LastAt is when the last of them did, in seconds since 1970.
	LastAt int64 `cbor:"4,keyasint"`
}

// WithheldChange tells that requests of a content are withheld from now on, or no longer.
type WithheldChange struct {
	Record   CrashRecord
	Withheld bool
	// Own is true for what this gateway has observed itself, at least in part.
	Own bool
}

// incarnationOf returns what stands for this life of the back end among gateways.
func incarnationKeyOf(backEnd catalog.BackEnd) incarnationKey {
	return incarnationKey(xxhash.Sum64String(backEnd.ID + "@" + strconv.FormatInt(backEnd.Born, 10)))
}

// contents returns the fingerprints of the request.
func (x *Exchange) contentFingerprints() []Fingerprint {
	if x.fingerprints == nil && x.request.Fingerprints != nil {
		x.fingerprints = x.request.Fingerprints()
	}
	return x.fingerprints
}

// noteBreak notes that the request broke off at the member.
func (c *Core) noteConnectionLost(now time.Time, x *Exchange, m *member) {
	if m.backEnd.Leaving || c.config.Disabled[Withholding] {
		return
	}
	for _, fingerprint := range x.contentFingerprints() {
		c.crashes.connectionLost(now, fingerprint, incarnationKeyOf(m.backEnd))
	}
}

// noteLife notes that the member answered the current attempt.
func (c *Core) noteAnswered(now time.Time, x *Exchange, m *member) {
	if len(c.crashes.lostAt) > 0 && c.crashes.answered(now, incarnationKeyOf(m.backEnd), x.sentAt) {
		c.presumeRestart(m)
	}
	c.noteRestarted(now, m)
}

// noteEnd notes that the member's incarnation isn't there any more.
func (c *Core) noteGone(m *member) {
	if len(c.crashes.lostAt) > 0 && c.crashes.confirmGone(incarnationKeyOf(m.backEnd)) {
		c.presumeRestart(m)
	}
}

// withholds tells whether the request is of a content that crashes back ends.
func (c *Core) withholds(now time.Time, x *Exchange) bool {
	c.crashes.publishDue(now)
	if c.crashes.withheld.Len() == 0 || c.config.Disabled[Withholding] {
		return false
	}
	return slices.ContainsFunc(x.contentFingerprints(), func(each Fingerprint) bool { return c.crashes.withholds(now, each) })
}

// Completed notes that the caller has a back end's whole answer.
func (c *Core) Completed(x *Exchange) {
	x.completed = true
	c.clearContents(x)
}

// acquit notes that a back end answered the request whole, so that it doesn't crash what runs
// it.
func (c *Core) clearContents(x *Exchange) {
	if c.crashes.isEmpty() {
		return
	}
	for _, fingerprint := range x.contentFingerprints() {
		c.crashes.clearContent(fingerprint)
	}
}

// ReleaseWithheld acquits a content at an operator's word, and tells whether it was withheld.
func (c *Core) ReleaseWithheld(fingerprint Fingerprint) bool {
	isWithheld := c.crashes.withheld.Contains(fingerprint)
	c.crashes.clearContent(fingerprint)
	return isWithheld
}

// CrashChanges returns the number of changes of what peers are told of crashes.
func (c *Core) CrashChanges() uint64 { return c.crashes.changes }

// CrashesSince returns at most so many records that peers may lack after the number, and the
// number to go on from. The first number is 0.
func (c *Core) CrashesSince(now time.Time, cursor uint64, limit int) ([]CrashRecord, uint64) {
	c.crashes.publishDue(now)
	return c.crashes.changedSince(cursor, limit)
}

// TakeCrashes takes what a peer, or the platform's store, tells of crashes.
func (c *Core) MergeCrashes(now time.Time, list []CrashRecord) {
	if c.config.Disabled[Withholding] {
		return
	}
	for _, each := range list {
		c.crashes.merge(now, each)
	}
}

// TakeWithheldChanges returns the contents that became withheld, or are no longer, since the
// last call.
func (c *Core) TakeWithheldChanges() []WithheldChange {
	changed := c.crashes.withheldChanges
	c.crashes.withheldChanges = nil
	return changed
}

// WithheldRecords returns the records of the contents that are withheld.
func (c *Core) WithheldRecords() []CrashRecord {
	var records []CrashRecord
	for _, fingerprint := range c.Withheld() {
		if record, known := c.crashes.withheld.Peek(fingerprint); known {
			records = append(records, record.export())
		}
	}
	return records
}

// Withheld returns the fingerprints of the contents that are withheld, in order.
func (c *Core) Withheld() []Fingerprint {
	return slices.Sorted(slices.Values(c.crashes.withheld.Keys()))
}

// IsOutdated tells whether requests of the content are no longer withheld for these crashes.
func (r CrashRecord) IsExpired(now time.Time) bool {
	return now.Sub(time.Unix(r.LastAt, 0)) > withholdTime
}
