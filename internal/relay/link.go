package relay

import (
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// link is one open connection.
type link struct {
	socket *websocket.Conn
	// wake makes the writer send at once.
	wake chan struct{}
	// ask and give are what the next message carries: a question for the peer's
	// document, and the answer to the peer's.
	ask  atomic.Bool
	give atomic.Bool
	// lacking are the buckets of back ends that the next message asks the peer for.
	lacking atomic.Uint64
	// repair is the reader's alone.
	repair repair

	mutex sync.Mutex
	// asked is what the peer asked for since the last message to it.
	asked peerQuestion
	// heard are the entries that the peer told since the last message to it.
	heard map[string]catalog.Entry
	// heardHoldings are the holdings that it told of late.
	heardHoldings map[holding]struct{}
}

// peerQuestion is a peer's question for back ends: the buckets, and those that it knows.
type peerQuestion struct {
	buckets catalog.Buckets
	known   catalog.Checksums
}

// noteAsked remembers what the peer asked for.
func (l *link) noteAsked(message Message) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked.buckets |= message.Lacking
	l.asked.known = append(l.asked.known, message.Sums...)
}

// takeAsked returns what the peer asked for, once.
func (l *link) takeAsked() peerQuestion {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	asked := l.asked
	l.asked = peerQuestion{}
	return asked
}

// holding is a prompt part at a back end.
type holding struct {
	backEnd catalog.Incarnation
	part    uint64
}

// incarnationOf returns the back end that the holdings are of.
func incarnationOf(holdings dispatch.Holdings) catalog.Incarnation {
	return catalog.Incarnation{ID: holdings.BackEnd, Born: holdings.Born}
}

// maxHeardHoldings bounds the memory of a connection for holdings, to the length of the
// news that gateways keep.
const maxHeardHoldings = 4096

func newLink(socket *websocket.Conn) *link {
	return &link{
		socket: socket, wake: make(chan struct{}, 1),
		heard: map[string]catalog.Entry{}, heardHoldings: map[holding]struct{}{},
	}
}

// noteHoldings remembers what the peer told, which needn't be told to it.
func (l *link) noteHoldings(list []dispatch.Holdings) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.heardHoldings) > maxHeardHoldings {
		clear(l.heardHoldings)
	}
	for _, each := range list {
		for _, part := range each.Parts {
			l.heardHoldings[holding{incarnationOf(each), part}] = struct{}{}
		}
	}
}

// untoldHoldings returns the holdings that the peer didn't tell itself. One that it told
// is forgotten with that, since it may be told again when it has grown old.
func (l *link) untoldHoldings(list []dispatch.Holdings) []dispatch.Holdings {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var untold []dispatch.Holdings
	for _, each := range list {
		kept := dispatch.Holdings{BackEnd: each.BackEnd, Born: each.Born}
		for i, part := range each.Parts {
			key := holding{incarnationOf(each), part}
			if _, heard := l.heardHoldings[key]; heard {
				delete(l.heardHoldings, key)
				continue
			}
			kept.Parts = append(kept.Parts, part)
			kept.Tokens = append(kept.Tokens, each.Tokens[i])
		}
		if len(kept.Parts) > 0 {
			untold = append(untold, kept)
		}
	}
	return untold
}

// note remembers what the peer told, which needn't be told to it.
func (l *link) note(entries []catalog.Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, entry := range entries {
		l.heard[entry.BackEnd.ID] = entry
	}
}

// untold returns the entries that the peer didn't tell itself, and forgets what it
// told.
func (l *link) untold(entries []catalog.Entry) []catalog.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []catalog.Entry
	for _, entry := range entries {
		told := entry
		told.BackEnd.WarmUpAt = catalog.Position{} // as it comes from a peer
		if heard, ok := l.heard[entry.BackEnd.ID]; !ok || heard != told {
			list = append(list, entry)
		}
	}
	clear(l.heard)
	return list
}

func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
