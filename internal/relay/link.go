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
	requestDocument atomic.Bool
	sendDocument    atomic.Bool
	// lacking are the buckets of back ends that the next message asks the peer for.
	requested atomic.Uint64
	// repair is the reader's alone.
	repair repair

	mutex sync.Mutex
	// asked is what the peer asked for since the last message to it.
	peerRequest bucketRequest
	// heard are the entries that the peer told since the last message to it.
	receivedEntries map[string]catalog.Entry
	// heardHoldings are the holdings that it told of late.
	receivedHoldings map[holding]struct{}
}

// peerQuestion is a peer's question for back ends: the buckets, and those that it knows.
type bucketRequest struct {
	buckets catalog.Buckets
	known   catalog.Checksums
}

// noteAsked remembers what the peer asked for.
func (l *link) addPeerRequest(message Message) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peerRequest.buckets |= message.Requested
	l.peerRequest.known = append(l.peerRequest.known, message.Checksums...)
}

// takeAsked returns what the peer asked for, once.
func (l *link) takePeerRequest() bucketRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	request := l.peerRequest
	l.peerRequest = bucketRequest{}
	return request
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
const maxReceivedHoldings = 4096

func newLink(socket *websocket.Conn) *link {
	return &link{
		socket: socket, wake: make(chan struct{}, 1),
		receivedEntries: map[string]catalog.Entry{}, receivedHoldings: map[holding]struct{}{},
	}
}

// noteHoldings remembers what the peer told, which needn't be told to it.
func (l *link) recordHoldings(list []dispatch.Holdings) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.receivedHoldings) > maxReceivedHoldings {
		clear(l.receivedHoldings)
	}
	for _, each := range list {
		for _, part := range each.Parts {
			l.receivedHoldings[holding{incarnationOf(each), part}] = struct{}{}
		}
	}
}

// untoldHoldings returns the holdings that the peer didn't tell itself. One that it told
// is forgotten with that, since it may be told again when it has grown old.
func (l *link) withoutReceivedHoldings(list []dispatch.Holdings) []dispatch.Holdings {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var filtered []dispatch.Holdings
	for _, each := range list {
		remaining := dispatch.Holdings{BackEnd: each.BackEnd, Born: each.Born}
		for i, part := range each.Parts {
			key := holding{incarnationOf(each), part}
			if _, received := l.receivedHoldings[key]; received {
				delete(l.receivedHoldings, key)
				continue
			}
			remaining.Parts = append(remaining.Parts, part)
			remaining.Tokens = append(remaining.Tokens, each.Tokens[i])
		}
		if len(remaining.Parts) > 0 {
			filtered = append(filtered, remaining)
		}
	}
	return filtered
}

// note remembers what the peer told, which needn't be told to it.
func (l *link) recordEntries(entries []catalog.Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, entry := range entries {
		l.receivedEntries[entry.BackEnd.ID] = entry
	}
}

// untold returns the entries that the peer didn't tell itself, and forgets what it
// told.
func (l *link) withoutReceivedEntries(entries []catalog.Entry) []catalog.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []catalog.Entry
	for _, entry := range entries {
		asReceived := entry
		asReceived.BackEnd.WarmUpAt = catalog.Position{} // as it comes from a peer
		if received, ok := l.receivedEntries[entry.BackEnd.ID]; !ok || received != asReceived {
			list = append(list, entry)
		}
	}
	clear(l.receivedEntries)
	return list
}

func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
