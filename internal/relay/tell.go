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
	longestGather = 100 * time.Millisecond
	// digestPeriod is the least time between two digests on a connection of a large
	// fleet: while thousands of back ends register, each of up to 74 connections would
	// carry ten digests of 320 bytes a second.
	digestPeriod = 250 * time.Millisecond
)

// conversation is what the peer of one connection was told.
type conversation struct {
	told gateway.Cursors
	// peersAt is when it was last told of other peers, and digestAt when a digest;
	// digestWaits is set while another one waits for its time.
	peersAt     time.Time
	digestAt    time.Time
	digestWaits bool
	// holdings bounds the holdings that it is told.
	holdings holdingsBudget
	// last is the last message.
	last Message
}

// write tells the peer what it lacks, at once after a change and every period.
func (r *Relay) write(ctx context.Context, to *link) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	var talk conversation
	for {
		message, changed := r.nextMessage(to, &talk)
		if err := r.writeOne(ctx, to.socket, message); err != nil {
			return
		}
		timer.Reset(r.pauseAfter(message, &talk))
		talk.last = message
		select {
		case <-to.wake:
		case <-changed:
			r.gather(ctx)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// nextMessage returns what the peer lacks now, and what tells of the next change.
func (r *Relay) nextMessage(to *link, talk *conversation) (message Message, changed <-chan struct{}) {
	gateways := r.config.State.Place().Gateways
	now := r.config.State.Clock().Now()
	news := r.config.State.UpdateSince(talk.told, talk.holdings.left(now, gateways))
	talk.holdings.spend(now, int(news.HoldingsCursor-talk.told.Holdings))
	r.holdDigest(&news, talk)
	news.Entries = to.untold(news.Entries)
	news.Holdings = to.untoldHoldings(news.Holdings)
	message = r.message(news, talk.peersAt)
	if message.Peers != nil {
		talk.peersAt = r.config.State.Clock().Now()
	}
	message.Want = to.ask.Swap(false)
	if to.give.Swap(false) {
		message.Document = r.config.State.Document()
	}
	if message.Lacking = catalog.Buckets(to.lacking.Swap(0)); message.Lacking != 0 {
		message.Sums = r.config.State.ChecksumsOf(message.Lacking)
	}
	r.answer(&message, to.takeAsked())
	talk.told = gateway.Cursors{Digest: news.DigestCursor, Entries: news.EntriesCursor, Evacuations: news.EvacuationsCursor, Holdings: news.HoldingsCursor, Crashes: news.CrashesCursor, Rollouts: news.RolloutsCursor, Displaced: news.DisplacedCursor, Leaving: news.LeavingCursor}
	return message, news.Changed
}

// holdDigest takes a digest out of the news that follows too soon on the one before.
func (r *Relay) holdDigest(news *gateway.Update, talk *conversation) {
	talk.digestWaits = false
	if news.Digest == nil {
		return
	}
	gateways := r.config.State.Place().Gateways
	if IsLarge(gateways) && r.config.State.Clock().Since(talk.digestAt) < digestPeriod {
		news.Digest, news.DigestCursor = nil, talk.told.Digest
		talk.digestWaits = true
		return
	}
	talk.digestAt = r.config.State.Clock().Now()
}

// pauseAfter returns the longest time from one message to the next.
func (r *Relay) pauseAfter(message Message, talk *conversation) time.Duration {
	gateways := r.config.State.Place().Gateways
	wait := periodFor(gateways)
	if talk.digestWaits {
		return min(wait, digestPeriod)
	}
	if IsLarge(gateways) && !message.tellsNews(talk.last) {
		return max(wait, restPeriod)
	}
	return wait
}

// answer adds what the peer lacks of the buckets that it asked for, if this gateway has a
// list.
func (r *Relay) answer(message *Message, asked peerQuestion) {
	if asked.buckets == 0 {
		return
	}
	entries, listed := r.config.State.MissingEntries(asked.buckets, asked.known)
	if listed {
		message.Answer = asked.buckets
		message.Entries = append(message.Entries, entries...)
	}
}

// gather waits for more changes to tell with the one at hand, and for the peer to tell
// it itself. In a small fleet a change is told at once.
func (r *Relay) gather(ctx context.Context) {
	if gateways := r.config.State.Place().Gateways; !IsLarge(gateways) {
		return
	}
	timer := time.NewTimer(rand.N(longestGather))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Relay) writeOne(ctx context.Context, socket *websocket.Conn, message Message) error {
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
