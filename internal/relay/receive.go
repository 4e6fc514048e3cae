package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

const (
	// documentRetryDelay is how long a request for a document may go without an answer before the
	// document is requested again.
	documentRetryDelay = 400 * time.Millisecond
)

// readLoop processes the peer's messages until the connection ends.
func (r *Relay) readLoop(ctx context.Context, from *link) error {
	for {
		message, err := r.readMessage(ctx, from.socket)
		if err != nil {
			return err
		}
		r.processMessage(from, message)
	}
}

// processMessage applies a message, and has what it asks for sent.
func (r *Relay) processMessage(from *link, message Message) {
	from.recordEntries(message.Entries)
	from.recordHoldings(message.Holdings)
	r.applyMessage(message)
	r.requestMissing(from, message)
	if message.Requested != 0 {
		from.addPeerRequest(message)
		from.wakeWriter()
	}
	if message.WantDocument {
		from.sendDocument.Store(true)
		from.wakeWriter()
	}
	if r.shouldRequestDocument(message.Version) {
		from.requestDocument.Store(true)
		from.wakeWriter()
	}
}

// requestMissing requests back ends that the peer knows and this gateway doesn't.
func (r *Relay) requestMissing(from *link, message Message) {
	r.locked(func() { from.repair.receive(&r.pending, message) })
	if from.repair.unrequested == 0 {
		return
	}
	differing := r.config.State.CompareDigest(from.repair.digest)
	var requested catalog.Buckets
	r.locked(func() { requested = from.repair.nextRequest(r.config.State.Clock().Now(), &r.pending, differing) })
	if requested != 0 {
		from.requested.Or(uint64(requested))
		from.wakeWriter()
	}
}

// shouldRequestDocument reports whether the version is newer than this gateway's, and the document
// hasn't been requested recently. If so, the request is recorded.
func (r *Relay) shouldRequestDocument(version uint64) bool {
	if version <= r.config.State.Version() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.State.Clock().Now()
	if version <= r.requestedVersion && now.Sub(r.requestedAt) < documentRetryDelay {
		return false
	}
	r.requestedVersion = version
	r.requestedAt = now
	return true
}

func (r *Relay) readMessage(ctx context.Context, socket *websocket.Conn) (message Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	err = r.messages.Read(ctx, socket, func(raw []byte) (err error) {
		r.config.Metrics.Counter("relay_bytes_received").Inc(int64(len(raw)))
		message, err = decode(raw)
		return err
	})
	return message, err
}

func (r *Relay) applyMessage(message Message) {
	now := r.config.State.Clock().Now()
	sender := Peer{ID: message.From, Address: message.Address, StoreAgeMillis: message.StoreAgeMillis, Zone: message.Zone, Capacity: message.Capacity}
	r.locked(func() { r.peers.ObserveMessage(now, sender, message.Peers) })
	r.config.State.ObserveEra(message.Era)
	if message.Document != nil && message.Version > r.config.State.Version() {
		r.applyDocument(message)
	}
	if message.Answered != 0 {
		r.config.State.OfferBuckets(message.Answered, message.Entries)
	} else {
		r.config.State.OfferEntries(message.Entries, gateway.SourcePeer)
	}
	if message.KnowsEvacuations {
		r.config.State.OfferEvacuations(message.Evacuations, gateway.SourcePeer)
	}
	if message.KnowsRollouts {
		r.config.State.OfferRollouts(message.Rollouts, gateway.SourcePeer)
	}
	r.config.State.MergeDisplaced(message.Displaced)
	r.config.State.MergeLeaving(message.Leaving)
	r.config.State.MergeMarks(message.Marks)
	r.config.State.SetPeerTallies(message.From, message.Tallies)
	r.config.State.SetPeerLoads(message.From, message.Loads)
	if tenants, err := message.Tenants.Unpack(); err == nil {
		r.config.State.SetPeerDemands(message.From, tenants)
	} else {
		// The rest of the update is valid, and the next one replaces the demands.
		r.config.Log.Entry().WithError(err).WithField("peer", message.From).Debug("a peer's demands of tenants can't be decoded")
	}
	r.config.State.MergePeerHoldings(message.Holdings)
	r.config.State.MergeCrashes(message.Crashes)
	r.config.State.MergeCrashes(message.PartCrashes)
}

func (r *Relay) applyDocument(message Message) {
	var configuration catalog.Configuration
	if err := cbor.Unmarshal(message.Document, &configuration); err != nil {
		r.config.Log.Warn(eventlog.ConfigurationRefused, logrus.Fields{"version": message.Version, "source": message.From, "cause": err.Error()})
		return
	}
	r.config.State.OfferConfiguration(&configuration, gateway.SourcePeer)
}
