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

// greet sends the first message and waits for the peer's. It returns how the two have met,
// and whether this gateway told what it knows.
func (r *Relay) greet(ctx context.Context, to *link) (met meeting, withList, ok bool) {
	greeting := r.firstMessage()
	greeting.Digest, greeting.Asks = r.digestToTell(ctx)
	if err := r.writeOne(ctx, to.socket, greeting); err != nil {
		return meeting{}, false, false
	}
	select {
	case first := <-to.first:
		if greeting.Asks && first.digest == nil {
			r.askAnother()
		}
		return meeting{peer: first.digest, asks: first.asks}, greeting.Digest != nil, true
	case <-ctx.Done():
		return meeting{}, false, false
	}
}

// firstMessage returns a message without news, as the first ones on a connection are.
func (r *Relay) firstMessage() Message {
	return r.message(gateway.News{Version: r.config.State.Version(), StoreAge: r.config.State.StoreAge()}, time.Time{})
}

// digestToTell returns what this gateway knows, or nil. One that has just started asks one
// peer at once for the list; the others hear that it has none only a while later: else each
// of them would tell it all that the store is telling it meanwhile.
func (r *Relay) digestToTell(ctx context.Context) (digest catalog.Digest, asks bool) {
	timer := time.NewTimer(listTime + rand.N(listTime))
	defer timer.Stop()
	for {
		digest, listed, changed := r.config.State.Digest()
		if listed {
			return digest, false
		}
		if r.mayAskForList() {
			return nil, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// askAnother lets the next peer be asked for the list, since the one that was has none.
func (r *Relay) askAnother() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listAsked = false
}

// mayAskForList returns true once, and again after askAnother.
func (r *Relay) mayAskForList() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.listAsked
	r.listAsked = true
	return first
}

// write tells the peer what it lacks, at once after a change and every period.
func (r *Relay) write(ctx context.Context, to *link) {
	met, greetedWithList, ok := r.greet(ctx, to)
	if !ok {
		return
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	var told gateway.Told
	var written Message
	var peersAt time.Time
	for {
		gateways, _ := r.config.State.Fleet()
		news := r.config.State.NewsSince(told, holdingsPerMessage(gateways))
		digest, whole := r.settle(&met, to, greetedWithList, told.Change == 0, &news)
		news.Entries = to.untold(news.Entries)
		news.Holdings = to.untoldHoldings(news.Holdings)
		message := r.message(news, peersAt)
		message.Digest, message.Whole = digest, whole
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

// settle adds to the news what the peer lacks of what was known when the two met, in place
// of all that is known. It returns the digest that is due to it, and whether the peer knows
// all that this gateway knows with the news. firstNews is true until changes were told.
func (r *Relay) settle(met *meeting, to *link, greetedWithList, firstNews bool, news *gateway.News) (digest catalog.Digest, whole bool) {
	if later := to.later.Swap(nil); later != nil {
		met.hear(*later)
	}
	if news.Change == 0 {
		return nil, false // no list yet
	}
	if firstNews {
		news.Entries = nil
	}
	tellLacking, tellDigest := met.step(time.Now(), greetedWithList)
	if tellLacking {
		lacking, _ := r.config.State.Differing(met.peer)
		news.Entries = append(news.Entries, lacking...)
	}
	if tellDigest {
		digest, _, _ = r.config.State.Digest()
	}
	return digest, tellLacking
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
