package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Message is what a gateway sends to a peer.
type Message struct {
	// From is the sender's ID, and Address the address of its listener for peers.
	From    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Peers are some of the live gateways that the sender knows.
	Peers []Peer `cbor:"3,keyasint,omitempty"`
	// Version is the version of the sender's configuration. A receiver with an older one requests
	// the document with WantDocument, so that the document crosses one link to the receiver, not
	// every one.
	Version      uint64          `cbor:"4,keyasint"`
	Document     cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	WantDocument bool            `cbor:"9,keyasint,omitempty"`
	// Entries are the back ends that have changed since the last message.
	Entries []catalog.Entry `cbor:"6,keyasint,omitempty"`
	// Loads are the numbers of requests that the sender has in flight. In a large fleet they are
	// collected instead; see package collect.
	Loads []dispatch.Load `cbor:"7,keyasint,omitempty"`
	// StoreAgeMillis is the time since the store last answered the sender, at most forgetTimeout.
	StoreAgeMillis int64 `cbor:"8,keyasint"`
	// Holdings are prompt parts that back ends have cached; only updates are sent.
	Holdings []dispatch.Holdings `cbor:"10,keyasint,omitempty"`
	// Digest summarizes the back ends that the sender knows. A sender with a list sets it in the
	// first message on a connection, and in later ones when it learned of many back ends at once
	// that aren't among Entries.
	Digest catalog.Digest `cbor:"11,keyasint,omitempty"`
	// Requested are buckets in which the receiver's digest differs from what the sender knows: the
	// sender requests their entries except those listed in Checksums. Answered are buckets that the
	// receiver requested; all that it lacks of them is among Entries.
	Requested catalog.Buckets   `cbor:"16,keyasint,omitempty"`
	Answered  catalog.Buckets   `cbor:"17,keyasint,omitempty"`
	Checksums catalog.Checksums `cbor:"18,keyasint,omitempty"`
	// Zone and Capacity are the sender's; see Peer.
	Zone     string `cbor:"12,keyasint,omitempty"`
	Capacity int    `cbor:"13,keyasint,omitempty"`
	// Evacuations are the evacuation orders that have changed since the last message.
	// KnowsEvacuations is true if the sender knows all orders: the first message with it contains
	// all of them.
	Evacuations      []catalog.Evacuation `cbor:"14,keyasint,omitempty"`
	KnowsEvacuations bool                 `cbor:"15,keyasint,omitempty"`
	// Crashes are records of back ends that crashed while running requests; only updates are sent.
	Crashes []dispatch.CrashRecord `cbor:"19,keyasint,omitempty"`
	// Era is the era of the platform's store, as far as the sender knows it.
	Era uint64 `cbor:"20,keyasint,omitempty"`
	// Rollouts are the rollout orders, to move services to other versions, that have changed since
	// the last message. KnowsRollouts is true if the sender knows all of them: the first message
	// with it contains all. Marks are what is known of those that aren't decided (see
	// rollout.Mark), and Tallies what the sender has observed of them. In a large fleet tallies are
	// collected instead; see package collect.
	Rollouts      []catalog.Rollout `cbor:"21,keyasint,omitempty"`
	KnowsRollouts bool              `cbor:"22,keyasint,omitempty"`
	Marks         []rollout.Mark    `cbor:"23,keyasint,omitempty"`
	Tallies       []rollout.Tally   `cbor:"24,keyasint,omitempty"`
	// Displaced are incarnations of back ends that have ended although they are still listed; only
	// updates are sent.
	Displaced []uint32 `cbor:"25,keyasint,omitempty"`
	// Leaving are incarnations of back ends whose answers said that they are leaving; only updates
	// are sent.
	Leaving []uint32 `cbor:"26,keyasint,omitempty"`
	// Tenants are the demands of the sender's largest tenants. In a large fleet they are collected
	// instead; see package collect.
	Tenants fairshare.Packed `cbor:"28,keyasint,omitempty"`
	// PartCrashes are crash records of parts of prompts. They aren't among Crashes, because earlier builds would take
	// them for records of contents.
	PartCrashes []dispatch.CrashRecord `cbor:"29,keyasint,omitempty"`
}

const (
	// period is the time between two messages on a connection. Loads, holdings and StoreAgeMillis
	// wait for it, while most other changes are sent without waiting. In a small fleet it bounds
	// the age of loads. Beyond fullRateGateways gateways, whose messages carry only updates, it
	// grows up to maxPeriod, at which messages still show within contactTimeout that the peer is
	// live.
	period           = 200 * time.Millisecond
	fullRateGateways = 30
	maxPeriod        = time.Second
	// idlePeriod is the time to the next message after one without updates, in a fleet whose loads
	// are collected. It delays the first update on the holders of a prompt part after an idle time,
	// and the report of how long ago the store answered the sender, from which others find that
	// they must read the store themselves. With messages every 200 ms, 23 idle gateways spend two
	// fifths of their processor time on them (BenchmarkIdleFleet, profile).
	idlePeriod = 400 * time.Millisecond
	// maxMessageBytes limits a message, which may contain a configuration, at most 1 MB in the store, and all back ends: 3,000
	// take 225 KB.
	maxMessageBytes = 4 << 20
	// peersPeriod is the minimum time between two messages that contain peers.
	peersPeriod = time.Second
)

// carriesUpdate reports whether the message, sent after the previous one, contains more for the
// receiver than that the sender is live. A new StoreAgeMillis isn't an update.
func (m *Message) carriesUpdate(previous Message) bool {
	changed := m.Version != previous.Version || m.KnowsEvacuations != previous.KnowsEvacuations || m.Era != previous.Era || m.KnowsRollouts != previous.KnowsRollouts
	lists := len(m.Digest) + len(m.Document) + len(m.Entries) + len(m.Evacuations) + len(m.Holdings) + len(m.Loads) + len(m.Peers) + len(m.Crashes) + len(m.PartCrashes) + len(m.Rollouts) + len(m.Marks) + len(m.Displaced) + len(m.Leaving)
	requests := m.WantDocument || m.Requested != 0
	return changed || requests || m.Answered != 0 || lists > 0
}

// decode parses a peer's message.
func decode(raw []byte) (Message, error) {
	var message Message
	err := cbor.Unmarshal(raw, &message)
	return message, err
}

// periodFor returns the time between two messages in a fleet of the given number of gateways.
func periodFor(gateways int) time.Duration {
	stretched := period * time.Duration(gateways) / fullRateGateways
	return max(period, min(stretched, maxPeriod))
}

// buildMessage returns a message with the update, and with peers if those are due on the
// connection on which some were last sent at peersSentAt.
func (r *Relay) buildMessage(update gateway.Update, peersSentAt time.Time) Message {
	message := Message{
		From:    r.config.ID,
		Address: r.config.Address,
		Version: update.Version,
		Digest:  update.Digest,
		Entries: update.Entries,
		Zone:    r.config.Zone, Capacity: r.config.Capacity,

		Evacuations: update.Evacuations, KnowsEvacuations: update.KnowsEvacuations,

		Holdings:       update.Holdings,
		Era:            update.Era,
		Rollouts:       update.Rollouts,
		KnowsRollouts:  update.KnowsRollouts,
		Marks:          update.Marks,
		Displaced:      update.Displaced,
		Leaving:        update.Leaving,
		StoreAgeMillis: min(update.StoreAge, forgetTimeout).Milliseconds(),
	}
	message.Crashes, message.PartCrashes = splitCrashes(update.Crashes)
	gateways := r.config.State.Place().Gateways
	if !IsLarge(gateways) {
		message.Loads = update.Loads
		message.Tallies = update.Tallies
		message.Tenants = fairshare.Pack(r.config.State.Demands())
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	message.Peers = peersToSend(r.peers, r.config.State.Clock().Now(), peersSentAt, gateways)
	return message
}

// splitCrashes returns the records of contents and those of parts of prompts.
func splitCrashes(records []dispatch.CrashRecord) (contents, parts []dispatch.CrashRecord) {
	for _, each := range records {
		if each.Part {
			parts = append(parts, each)
		} else {
			contents = append(contents, each)
		}
	}
	return contents, parts
}

// peersToSend returns the peers for a message on a connection on which some were last sent at
// peersSentAt, or nil until about peersPeriod has passed since then.
func peersToSend(table *PeerTable, now, peersSentAt time.Time, gateways int) []Peer {
	if now.Sub(peersSentAt) < peersPeriod-periodFor(gateways)/2 { // timers fire early and late
		return nil
	}
	return table.PeersForMessage(now)
}
