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
)

// write tells the peer what it lacks, at once after a change and every period.
func (r *Relay) write(ctx context.Context, to *link) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	var told gateway.Told
	var written Message
	var peersAt time.Time
	for {
		gateways, _ := r.config.State.Fleet()
		news := r.config.State.NewsSince(told, holdingsPerMessage(gateways))
		news.Entries = to.untold(news.Entries)
		news.Holdings = to.untoldHoldings(news.Holdings)
		message := r.message(news, peersAt)
		if message.Peers != nil {
			peersAt = time.Now()
		}
		message.Want = to.ask.Swap(false)
		if to.give.Swap(false) {
			message.Document = r.config.State.Document()
		}
		message.Lacking = catalog.Buckets(to.lacking.Swap(0))
		r.answer(&message, catalog.Buckets(to.asked.Swap(0)))
		if err := r.writeOne(ctx, to.socket, message); err != nil {
			return
		}
		wait := periodFor(gateways)
		if IsLarge(gateways) && !message.tellsNews(written) {
			wait = max(wait, restPeriod)
		}
		written = message
		told = gateway.Told{Listing: news.Listing, Change: news.Change, Evacuation: news.Evacuation, Holding: news.Holding}
		timer.Reset(wait)
		select {
		case <-to.wake:
		case <-news.Changed:
			r.gather(ctx, gateways)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// answer adds the back ends of the buckets that the peer asked for, if this gateway knows
// them all.
func (r *Relay) answer(message *Message, asked catalog.Buckets) {
	if asked == 0 {
		return
	}
	entries, listed := r.config.State.EntriesOf(asked)
	if listed {
		message.Answer = asked
		message.Entries = append(message.Entries, entries...)
	}
}

// gather waits for more changes to tell with the one at hand, and for the peer to tell
// it itself. In a small fleet a change is told at once.
func (r *Relay) gather(ctx context.Context, gateways int) {
	if gateways <= meshSize {
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
