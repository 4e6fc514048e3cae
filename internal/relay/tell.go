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
	// longestGather bounds the wait for further changes before one is told. News
	// crosses a fleet of 340 in some five steps, so that is a quarter of a second on
	// top of the way itself.
	maxBatchDelay = 100 * time.Millisecond
	// digestPeriod is the least time between two digests on a connection of a large
	// fleet: while thousands of back ends register, each of up to 74 connections would
	// carry ten digests of 320 bytes a second.
	minDigestInterval = 250 * time.Millisecond
)

// conversation is what the peer of one connection was told.
type sendState struct {
	cursors gateway.Cursors
	// peersAt is when it was last told of other peers, and digestAt when a digest;
	// digestWaits is set while another one waits for its time.
	peersSentAt    time.Time
	digestSentAt   time.Time
	digestDeferred bool
	// holdings bounds the holdings that it is told.
	holdings holdingsBudget
	// last is the last message.
	lastMessage Message
}

// write tells the peer what it lacks, at once after a change and every period.
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

// nextMessage returns what the peer lacks now, and what tells of the next change.
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

// holdDigest takes a digest out of the news that follows too soon on the one before.
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

// pauseAfter returns the longest time from one message to the next.
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

// answer adds what the peer lacks of the buckets that it asked for, if this gateway has a
// list.
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

// gather waits for more changes to tell with the one at hand, and for the peer to tell
// it itself. In a small fleet a change is told at once.
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
