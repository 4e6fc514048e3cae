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
	// listTime is how long the store may take to tell a list of thousands of back
	// ends, and this process to read it.
	listTime = 400 * time.Millisecond
)

// greet sends the first message, waits for the peer's, and tells it the back ends that
// it may lack. It returns the number of changes to go on from.
func (r *Relay) greet(ctx context.Context, to *link) (change uint64, ok bool) {
	greeting := r.firstMessage()
	greeting.Digest = r.digestToTell(ctx)
	if err := r.writeOne(ctx, to.socket, greeting); err != nil {
		return 0, false
	}
	select {
	case digest := <-to.first:
		lacking := r.firstMessage()
		lacking.Entries, change = r.config.State.Differing(digest)
		return change, r.writeOne(ctx, to.socket, lacking) == nil
	case <-ctx.Done():
		return 0, false
	}
}

// firstMessage returns a message without news, as the first ones on a connection are.
func (r *Relay) firstMessage() Message {
	return r.message(gateway.News{Version: r.config.State.Version(), StoreAge: r.config.State.StoreAge()}, time.Time{})
}

// digestToTell returns what this gateway knows. One that has just started tells one peer
// at once that it knows nothing; the others only when it still has no list a while
// later: else each of them would tell it all that the store is telling it meanwhile.
func (r *Relay) digestToTell(ctx context.Context) catalog.Digest {
	timer := time.NewTimer(listTime + rand.N(listTime))
	defer timer.Stop()
	for {
		digest, listed, changed := r.config.State.Digest()
		if listed || r.mayAskForList() {
			return digest
		}
		select {
		case <-changed:
		case <-timer.C:
			return digest
		case <-ctx.Done():
			return digest
		}
	}
}

// mayAskForList returns true once.
func (r *Relay) mayAskForList() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.listAsked
	r.listAsked = true
	return first
}

// write tells the peer what it lacks, at once after a change and every period.
func (r *Relay) write(ctx context.Context, to *link) {
	change, ok := r.greet(ctx, to)
	if !ok {
		return
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	told := gateway.Told{Change: change}
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
		if err := r.writeOne(ctx, to.socket, message); err != nil {
			return
		}
		wait := periodFor(gateways)
		if IsLarge(gateways) && !message.tellsNews(written) {
			wait = max(wait, restPeriod)
		}
		written = message
		told = gateway.Told{Change: news.Change, Evacuation: news.Evacuation, Holding: news.Holding}
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
	return socket.Write(ctx, websocket.MessageBinary, raw)
}
