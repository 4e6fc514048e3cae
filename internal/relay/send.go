package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

const (
	// maxBatchDelay limits the wait for further changes before a change is sent. An update crosses
	// a fleet of 340 gateways in about five steps, so the waits add about a quarter of a second to
	// the time that it takes anyway.
	maxBatchDelay = 100 * time.Millisecond
	// minDigestInterval is the minimum time between two digests on a connection of a large fleet.
	// Without it, while thousands of back ends register, each of up to 74 connections would carry
	// ten digests of 320 bytes per second.
	minDigestInterval = 250 * time.Millisecond
)

// sendState is what has been sent to the peer of one connection.
type sendState struct {
	// cursors are the positions up to which the peer has been sent the state.
	cursors gateway.Cursors
	// peersSentAt is when peers were last sent, and digestSentAt when a digest was. digestDeferred
	// is set while another digest has to wait for minDigestInterval.
	peersSentAt    time.Time
	digestSentAt   time.Time
	digestDeferred bool
	// holdings limits the holdings that are sent.
	holdings holdingsBudget
	// lastMessage is the last message that was sent.
	lastMessage Message
}

// writeLoop sends the peer the state that it lacks: when the state announces a change, when
// wakeWriter is called, and otherwise after the time that delayAfter returns.
func (r *Relay) writeLoop(ctx context.Context, to *link) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	var state sendState
	for {
		message, changed := r.nextMessage(to, &state)
		if err := r.writeMessage(ctx, to.socket, message); err != nil {
			return
		}
		timer.Reset(r.delayAfter(message, &state))
		state.lastMessage = message
		select {
		case <-to.wake:
		case <-changed:
			r.batchChanges(ctx)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// nextMessage returns a message with the state that the peer lacks now, and a channel that is
// closed at the next change.
func (r *Relay) nextMessage(to *link, state *sendState) (message Message, changed <-chan struct{}) {
	gateways := r.config.State.Place().Gateways
	now := r.config.State.Clock().Now()
	update := r.config.State.UpdateSince(state.cursors, state.holdings.available(now, gateways))
	state.holdings.spend(now, int(update.HoldingsCursor-state.cursors.Holdings))
	r.deferDigest(&update, state)
	update.Entries = to.withoutReceivedEntries(update.Entries)
	update.Holdings = to.withoutReceivedHoldings(update.Holdings)
	message = r.buildMessage(update, state.peersSentAt)
	if message.Peers != nil {
		state.peersSentAt = r.config.State.Clock().Now()
	}
	message.WantDocument = to.requestDocument.Swap(false)
	if to.sendDocument.Swap(false) {
		message.Document = r.config.State.Document()
	}
	if message.Requested = catalog.Buckets(to.requested.Swap(0)); message.Requested != 0 {
		message.Checksums = r.config.State.ChecksumsOf(message.Requested)
	}
	r.addAnswer(&message, to.takePeerRequest())
	state.cursors = gateway.Cursors{Digest: update.DigestCursor, Entries: update.EntriesCursor, Evacuations: update.EvacuationsCursor, Holdings: update.HoldingsCursor, Crashes: update.CrashesCursor, Rollouts: update.RolloutsCursor, Displaced: update.DisplacedCursor, Leaving: update.LeavingCursor}
	return message, update.Changed
}

// deferDigest removes the digest from the update if, in a large fleet, the previous one was sent
// less than minDigestInterval ago.
func (r *Relay) deferDigest(update *gateway.Update, state *sendState) {
	state.digestDeferred = false
	if update.Digest == nil {
		return
	}
	gateways := r.config.State.Place().Gateways
	if IsLarge(gateways) && r.config.State.Clock().Since(state.digestSentAt) < minDigestInterval {
		update.Digest, update.DigestCursor = nil, state.cursors.Digest
		state.digestDeferred = true
		return
	}
	state.digestSentAt = r.config.State.Clock().Now()
}

// delayAfter returns the maximum time from the message to the next one.
func (r *Relay) delayAfter(message Message, state *sendState) time.Duration {
	gateways := r.config.State.Place().Gateways
	delay := periodFor(gateways)
	if state.digestDeferred {
		return min(delay, minDigestInterval)
	}
	if IsLarge(gateways) && !message.carriesUpdate(state.lastMessage) {
		return max(delay, idlePeriod)
	}
	return delay
}

// addAnswer adds what the peer lacks of the buckets that it requested, if this gateway has a list.
func (r *Relay) addAnswer(message *Message, request bucketRequest) {
	if request.buckets == 0 {
		return
	}
	entries, listed := r.config.State.MissingEntries(request.buckets, request.known)
	if listed {
		message.Answered = request.buckets
		message.Entries = append(message.Entries, entries...)
	}
}

// batchChanges waits for more changes to send with the current one, and for the peer to send the
// same changes itself. In a small fleet a change is sent immediately.
func (r *Relay) batchChanges(ctx context.Context) {
	if gateways := r.config.State.Place().Gateways; !IsLarge(gateways) {
		return
	}
	timer := time.NewTimer(rand.N(maxBatchDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Relay) writeMessage(ctx context.Context, socket *websocket.Conn, message Message) error {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r.config.Metrics.Counter("relay_bytes_sent").Inc(int64(len(raw)))
	r.config.Metrics.Counter("relay_entries_sent").Inc(int64(len(message.Entries)))
	return socket.Write(ctx, websocket.MessageBinary, raw)
}
