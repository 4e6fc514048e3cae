package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Message is what a gateway tells a peer.
type Message struct {
	// From and Address name the sender and its listener for peers.
	From    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Peers are the live gateways that the sender knows.
	Peers []Peer `cbor:"3,keyasint,omitempty"`
	// Version is the sender's configuration. A receiver with an older one asks for
	// the document with Want; so it crosses one link, not every one.
	Version      uint64          `cbor:"4,keyasint"`
	Document     cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	WantDocument bool            `cbor:"9,keyasint,omitempty"`
	// Entries are the back ends that changed since the last message.
	Entries []catalog.Entry `cbor:"6,keyasint,omitempty"`
	// Loads are the sender's requests under way. In a large fleet they are collected
	// instead.
	Loads []dispatch.Load `cbor:"7,keyasint,omitempty"`
	// StoreAgeMillis is how long ago the store last answered the sender.
	StoreAgeMillis int64 `cbor:"8,keyasint"`
	// Holdings are prompt parts that back ends hold, as far as it is news.
	Holdings []dispatch.Holdings `cbor:"10,keyasint,omitempty"`
	// Digest sums up the back ends that the sender knows. It stands in the first message
	// on a connection of a sender with a list, and in later ones when it learned of many
	// at once, which aren't among the entries.
	Digest catalog.Digest `cbor:"11,keyasint,omitempty"`
	// Lacking are buckets in which the receiver's digest differs from what the sender
	// knows: it asks for their entries but those of Sums. Answer are buckets that the
	// receiver asked for; all that it lacks of them is among Entries.
	Requested catalog.Buckets   `cbor:"16,keyasint,omitempty"`
	Answered  catalog.Buckets   `cbor:"17,keyasint,omitempty"`
	Checksums catalog.Checksums `cbor:"18,keyasint,omitempty"`
	// Zone and Capacity are the sender's; see Peer.
	Zone     string `cbor:"12,keyasint,omitempty"`
	Capacity int    `cbor:"13,keyasint,omitempty"`
	// Evacuations are the orders on zones that changed since the last message. Surveyed
	// is true when the sender knows all of them: the first message with it tells all.
	Evacuations      []catalog.Evacuation `cbor:"14,keyasint,omitempty"`
	KnowsEvacuations bool                 `cbor:"15,keyasint,omitempty"`
	// Crashes are records of back ends that crashed under requests, as far as it is news.
	Crashes []dispatch.CrashRecord `cbor:"19,keyasint,omitempty"`
	// Era is that of the platform's store, as far as the sender knows.
	Era uint64 `cbor:"20,keyasint,omitempty"`
	// Rollouts are the orders to move services to other versions that changed since the last
	// message. KnowsRollouts is true when the sender knows all of them: the first message with
	// it tells all. Marks are what is known of those that aren't decided, and Tallies what the
	// sender has seen of them; in a large fleet tallies are collected instead.
	Rollouts      []catalog.Rollout `cbor:"21,keyasint,omitempty"`
	KnowsRollouts bool              `cbor:"22,keyasint,omitempty"`
	Marks         []rollout.Mark    `cbor:"23,keyasint,omitempty"`
	Tallies       []rollout.Tally   `cbor:"24,keyasint,omitempty"`
	// Displaced are lives of back ends that have ended though they are listed, as far as it is
	// news.
	Displaced []uint32 `cbor:"25,keyasint,omitempty"`
	// Leaving are lives of back ends whose answers have said that they leave, as far as it is
	// news.
	Leaving []uint32 `cbor:"26,keyasint,omitempty"`
}

const (
	// period is the time between two messages on a connection; a change is told
	// at once. In a small fleet it bounds the age of loads. It stretches beyond
	// quickGateways gateways, whose messages carry news alone, to longestPeriod, which
	// still shows within freshLink that a peer lives.
	period           = 200 * time.Millisecond
	fullRateGateways = 30
	maxPeriod        = time.Second
	// restPeriod is the time to the next message after one without news, in a fleet whose
	// loads are collected. It delays the first news of who holds a prompt part after a rest,
	// and the word on how long ago the store answered the sender, by which others find that
	// they must read it themselves. At 23 gateways at rest, messages each 200 ms took two
	// fifths of the processor time (BenchmarkFleetAtRest, profile).
	idlePeriod = 400 * time.Millisecond
	// maxMessageBytes bounds a message: a configuration and all back ends.
	maxMessageBytes = 16 << 20
	// peersPeriod is the least time between two messages with some of the peers.
	peersPeriod = time.Second
)

// tellsNews tells whether the receiver would learn more than that the sender lives, after
// the message before.
func (m *Message) carriesUpdate(previous Message) bool {
	changed := m.Version != previous.Version || m.KnowsEvacuations != previous.KnowsEvacuations || m.Era != previous.Era || m.KnowsRollouts != previous.KnowsRollouts
	lists := len(m.Digest) + len(m.Document) + len(m.Entries) + len(m.Evacuations) + len(m.Holdings) + len(m.Loads) + len(m.Peers) + len(m.Crashes) + len(m.Rollouts) + len(m.Marks) + len(m.Displaced) + len(m.Leaving)
	requests := m.WantDocument || m.Requested != 0
	return changed || requests || m.Answered != 0 || lists > 0
}

// decode parses a peer's message.
func decode(raw []byte) (Message, error) {
	var message Message
	err := cbor.Unmarshal(raw, &message)
	return message, err
}

// periodFor returns the time between two messages in a fleet of so many gateways.
func periodFor(gateways int) time.Duration {
	stretched := period * time.Duration(gateways) / fullRateGateways
	return max(period, min(stretched, maxPeriod))
}

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
		Crashes:        update.Crashes,
		Era:            update.Era,
		Rollouts:       update.Rollouts,
		KnowsRollouts:  update.KnowsRollouts,
		Marks:          update.Marks,
		Displaced:      update.Displaced,
		Leaving:        update.Leaving,
		StoreAgeMillis: min(update.StoreAge, forgetTimeout).Milliseconds(),
	}
	gateways := r.config.State.Place().Gateways
	if !IsLarge(gateways) {
		message.Loads = update.Loads
		message.Tallies = update.Tallies
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	message.Peers = peersToSend(r.peers, r.config.State.Clock().Now(), peersSentAt, gateways)
	return message
}

// toldPeers returns the peers for a message on a connection on which some were last told
// at the time peersAt.
func peersToSend(table *PeerTable, now, peersSentAt time.Time, gateways int) []Peer {
	if now.Sub(peersSentAt) < peersPeriod-periodFor(gateways)/2 { // timers fire early and late
		return nil
	}
	return table.PeersForMessage(now)
}
