package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// A request that crashes the back ends that run it is withheld by all gateways once three back
// ends have crashed under its content, that is, while they ran requests with this content. A lost
// connection alone doesn't prove a crash, and most requests in flight during a crash didn't cause
// it. So a lost connection doesn't count if the back end answers a later request, or if the back
// end was leaving. And a complete answer to a request with the content clears the crashes so far.

// CrashRecord holds what a gateway reports to others of the crashes under one content or part of prompts.
type CrashRecord struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Incarnations are the back ends that may have crashed under the content, and Evidence the
	// evidence for each.
	Incarnations []uint32 `cbor:"2,keyasint"`
	Evidence     []uint8  `cbor:"3,keyasint"`
	// LastAt is when the last of them crashed, in seconds since 1970.
	LastAt int64 `cbor:"4,keyasint"`
	// Part is true for a part of prompts, and false for a content.
	Part bool `cbor:"5,keyasint,omitempty"`
	// BegunAt is when an answer last began under the part, in milliseconds since 1970, or 0. Trials is the number of
	// requests with the part that were sent while it was withheld.
	BegunAt int64 `cbor:"6,keyasint,omitempty"`
	Trials  uint8 `cbor:"7,keyasint,omitempty"`
}

// WithheldChange records that a content or part has become withheld or was released.
type WithheldChange struct {
	Record   CrashRecord
	Withheld bool
	// Own is true if the change is based on this gateway's own observations, at least in part, on
	// an operator's request to this gateway, or on the expiry of withholdTime.
	Own bool
}

// incarnationKeyOf returns the key that identifies the back end's incarnation among gateways.
func incarnationKeyOf(backEnd catalog.BackEnd) incarnationKey {
	return incarnationKey(xxhash.Sum64String(backEnd.ID + "@" + strconv.FormatInt(backEnd.Born, 10)))
}

// contentFingerprints returns the fingerprints of the request's content.
func (x *Exchange) contentFingerprints() []Fingerprint {
	if x.fingerprints == nil && x.request.Fingerprints != nil {
		x.fingerprints = x.request.Fingerprints()
	}
	return x.fingerprints
}

// noteConnectionLost records that the request's connection to the member was lost.
func (c *Core) noteConnectionLost(now time.Time, x *Exchange, m *member) {
	if m.backEnd.Leaving || c.config.Disabled[Withholding] {
		return
	}
	incarnation := incarnationKeyOf(m.backEnd)
	if !c.crashes.lost(now, incarnation, x.sentAt) {
		return
	}
	for _, fingerprint := range x.contentFingerprints() {
		c.crashes.connectionLost(now, fingerprint, incarnation)
	}
	if x.began {
		return
	}
	for _, part := range x.sharedParts() {
		c.crashes.partConnectionLost(now, part, incarnation)
	}
}

// noteAnswered records that the member answered the current attempt.
func (c *Core) noteAnswered(now time.Time, x *Exchange, m *member) {
	if c.crashes.awaitsAnswers() && c.crashes.answered(now, incarnationKeyOf(m.backEnd), x.sentAt) {
		c.presumeRestart(m)
	}
	c.noteRestarted(now, m)
}

// noteGone records that the member's incarnation has presumably ended, since it can't be
// connected to or another back end uses its address.
func (c *Core) noteGone(m *member) {
	if len(c.crashes.lostAt) > 0 && c.crashes.confirmGone(incarnationKeyOf(m.backEnd)) {
		c.presumeRestart(m)
	}
}

// withholds reports whether the request has a content or a part that crashes back ends.
func (c *Core) withholds(now time.Time, x *Exchange) bool {
	c.crashes.publishDue(now)
	if c.config.Disabled[Withholding] {
		return false
	}
	return c.withholdsPart(now, x) || c.withholdsContent(now, x)
}

// withholdsContent reports whether the request has a withheld content and isn't a trial of it. Only a first attempt is
// a trial. Of several contents the first decides which gateways may send it: they would seldom be drawn for all.
func (c *Core) withholdsContent(now time.Time, x *Exchange) bool {
	records := c.withheldContents(now, x)
	if len(records) == 0 {
		return false
	}
	return x.attempts > 0 || !c.mayTry(now, x, records[0])
}

// withheldContents returns the records of the request's withheld contents.
func (c *Core) withheldContents(now time.Time, x *Exchange) []*crashRecord {
	return c.crashes.withheldAmong(now, &c.crashes.contents, x.contentFingerprints)
}

// Completed records that the caller has the back end's complete answer.
func (c *Core) Completed(x *Exchange) {
	x.completed = true
	c.clearContents(x)
	if !x.request.Route.Stream && !x.answeredAt.Before(x.sentAt) {
		c.AnswerBegan(x.answeredAt, x)
	}
}

// clearContents records that a back end answered the request completely, so the request's content
// doesn't crash back ends.
func (c *Core) clearContents(x *Exchange) {
	if c.crashes.contents.isEmpty() {
		return
	}
	for _, fingerprint := range x.contentFingerprints() {
		c.crashes.clearContent(fingerprint)
	}
}

// ReleaseWithheld clears a content or part on an operator's request, and reports whether it was withheld.
func (c *Core) ReleaseWithheld(fingerprint Fingerprint) bool {
	isWithheld := c.crashes.isWithheld(fingerprint)
	c.crashes.clearContent(fingerprint)
	return isWithheld
}

// CrashChanges returns the number of changes so far that are published to peers.
func (c *Core) CrashChanges() uint64 { return c.crashes.changes }

// CrashesSince returns at most limit records that changed after the cursor, and the next
// cursor. The first cursor is 0.
func (c *Core) CrashesSince(now time.Time, cursor uint64, limit int) ([]CrashRecord, uint64) {
	c.crashes.publishDue(now)
	return c.crashes.changedSince(cursor, limit)
}

// MergeCrashes merges crash records of a peer or the store.
func (c *Core) MergeCrashes(now time.Time, list []CrashRecord) {
	if c.config.Disabled[Withholding] {
		return
	}
	for _, each := range list {
		c.crashes.merge(now, each)
	}
}

// TakeWithheldChanges returns the contents and parts that became withheld or were released since the last
// call, and clears them.
func (c *Core) TakeWithheldChanges() []WithheldChange {
	changed := c.crashes.withheldChanges
	c.crashes.withheldChanges = nil
	return changed
}

// WithheldRecords returns the records of the withheld contents and parts.
func (c *Core) WithheldRecords() []CrashRecord {
	var records []CrashRecord
	for _, fingerprint := range c.Withheld() {
		if record := c.crashes.get(fingerprint); record != nil {
			records = append(records, record.export())
		}
	}
	return records
}

// Withheld returns the fingerprints of the withheld contents and parts in ascending order.
func (c *Core) Withheld() []Fingerprint {
	return slices.Sorted(slices.Values(c.crashes.withheldKeys()))
}

// IsExpired reports whether the last crash is so long ago that the content is no longer withheld.
func (r CrashRecord) IsExpired(now time.Time) bool {
	return now.Sub(time.Unix(r.LastAt, 0)) > withholdTime
}
