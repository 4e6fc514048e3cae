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
	// askAgain is how long a question for a document may go without an answer.
	askAgain = 400 * time.Millisecond
)

func (r *Relay) read(ctx context.Context, from *link) error {
	for {
		message, err := r.readOne(ctx, from.socket)
		if err != nil {
			return err
		}
		from.note(message.Entries)
		from.noteHoldings(message.Holdings)
		r.take(message)
		r.askFor(from, message)
		if message.Lacking != 0 {
			from.noteAsked(message)
			from.wakeUp()
		}
		if message.Want {
			from.give.Store(true)
			from.wakeUp()
		}
		if r.shouldAsk(message.Version) {
			from.ask.Store(true)
			from.wakeUp()
		}
	}
}

// askFor asks the peer for back ends that it knows and this gateway doesn't.
func (r *Relay) askFor(from *link, message Message) {
	r.mutex.Lock()
	from.repair.hear(&r.questions, message)
	r.mutex.Unlock()
	if from.repair.wanted == 0 {
		return
	}
	differing := r.config.State.CompareDigest(from.repair.digest)
	r.mutex.Lock()
	lacking := from.repair.next(r.config.State.Clock().Now(), &r.questions, differing)
	r.mutex.Unlock()
	if lacking != 0 {
		from.lacking.Or(uint64(lacking))
		from.wakeUp()
	}
}

// shouldAsk tells whether a document is newer than this gateway's, and nobody
// was asked for it of late.
func (r *Relay) shouldAsk(version uint64) bool {
	if version <= r.config.State.Version() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.State.Clock().Now()
	if version <= r.askedVersion && now.Sub(r.askedAt) < askAgain {
		return false
	}
	r.askedVersion = version
	r.askedAt = now
	return true
}

func (r *Relay) readOne(ctx context.Context, socket *websocket.Conn) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return Message{}, err
	}
	r.config.Metrics.Counter("relay_bytes_received").Inc(int64(len(raw)))
	return decode(raw)
}

func (r *Relay) take(message Message) {
	now := r.config.State.Clock().Now()
	r.mutex.Lock()
	r.book.Heard(now, Peer{ID: message.From, Address: message.Address, StoreAgeMillis: message.StoreAgeMillis, Zone: message.Zone, Capacity: message.Capacity}, message.Peers)
	r.mutex.Unlock()
	r.config.State.ObserveEra(message.Era)
	if message.Document != nil && message.Version > r.config.State.Version() {
		r.takeDocument(message)
	}
	if message.Answer != 0 {
		r.config.State.OfferBuckets(message.Answer, message.Entries)
	} else {
		r.config.State.OfferEntries(message.Entries, gateway.SourcePeer)
	}
	if message.Surveyed {
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
	r.config.State.MergePeerHoldings(message.Holdings)
	r.config.State.MergeCrashes(message.Crashes)
}

func (r *Relay) takeDocument(message Message) {
	var configuration catalog.Configuration
	if err := cbor.Unmarshal(message.Document, &configuration); err != nil {
		r.config.Log.Urgent(eventlog.Misconfigured, logrus.Fields{"version": message.Version, "source": message.From, "cause": err.Error()})
		return
	}
	r.config.State.OfferConfiguration(&configuration, gateway.SourcePeer)
}
