package dispatch

import "time"

// Unread tokens are the prompt tokens that an engine was sent and hasn't prefilled yet. How long a prompt
// waits at an engine depends on the unread tokens of all gateways there. Requests differ a hundredfold in
// them, so they don't follow from the number of requests. Gateways exchange them with their loads: in
// Count in a large fleet, in Load in a small one.

// UnreadUnit is the resolution of exchanged unread tokens, in tokens. An engine prefills them in
// about 4 ms, the time of one step, and most sums take one byte.
const UnreadUnit = 256

// maxUnreadUnits limits the unread tokens that a gateway reports for a back end to 8 million, which
// is minutes of work. The sums of hundreds of gateways stay in the range that messages allow.
const maxUnreadUnits = 1 << 15

// unreadUnits returns the unread tokens of this gateway's requests at the member, in units of
// UnreadUnit; 0 without an engine.
func (m *member) unreadUnits() uint32 {
	if m.engine == nil {
		return 0
	}
	return uint32(min((m.engine.Own().Unread+UnreadUnit/2)/UnreadUnit, maxUnreadUnits))
}

// knowsOthersUnread reports whether the unread tokens of the other gateways are known: from totals, or
// because every peer has reported its loads recently. Otherwise assumedOthersWork applies.
func (c *Core) knowsOthersUnread(now time.Time) bool {
	return c.totalsAreFresh(now) || c.peers.reporting(now) >= c.gateways-1
}

// othersUnread returns the unread tokens of all other gateways at the member; 0 if they aren't
// known, and without an engine. They are assumed to be prefilled at the engine's rate since they
// were reported.
func (c *Core) othersUnread(now time.Time, m *member) float64 {
	if m.engine == nil {
		return 0
	}
	if c.totalsAreFresh(now) {
		return max(0, m.others.unread-m.engine.PrefillRate(now)*now.Sub(c.totalsAt).Seconds())
	}
	if !c.knowsOthersUnread(now) {
		return 0
	}
	unread, age := c.peers.unread(now, m.backEnd.ID)
	return max(0, unread-m.engine.PrefillRate(now)*age.Seconds())
}

// reporting returns the number of peers that reported recently.
func (p peerLoads) reporting(now time.Time) int {
	peers := 0
	for range p.recent(now) {
		peers++
	}
	return peers
}

// unread returns the sum of the unread tokens that peers recently reported for the back end, and
// their mean age, weighted by tokens. One mean age is enough: the engine prefills them one after
// another at one rate, whichever peer sent them.
func (p peerLoads) unread(now time.Time, backEnd string) (tokens float64, age time.Duration) {
	var units, unitMillis int64 // unitMillis sums units times age
	for peer := range p.recent(now) {
		units += int64(peer.unread[backEnd])
		unitMillis += int64(peer.unread[backEnd]) * now.Sub(peer.at).Milliseconds()
	}
	if units == 0 {
		return 0, 0
	}
	return float64(units) * UnreadUnit, time.Duration(unitMillis/units) * time.Millisecond
}

// unreadByBackEnd returns the unread tokens of the loads by the back end's ID, without zeros. A larger
// figure than a gateway may report is limited.
func unreadByBackEnd(loads []Load) map[string]uint32 {
	var result map[string]uint32
	for _, load := range loads {
		if load.Unread == 0 {
			continue
		}
		if result == nil {
			result = map[string]uint32{}
		}
		result[load.BackEnd] = min(load.Unread, maxUnreadUnits)
	}
	return result
}
