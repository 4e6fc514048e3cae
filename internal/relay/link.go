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
	// wake makes the writer send immediately.
	wake chan struct{}
	// requestDocument and sendDocument determine what the next message contains: a request for the
	// peer's document, and the document that the peer requested.
	requestDocument atomic.Bool
	sendDocument    atomic.Bool
	// requested are the buckets whose missing back ends the next message requests from the peer.
	requested atomic.Uint64
	// repair is used only by readLoop.
	repair repair

	mutex sync.Mutex
	// peerRequest is what the peer has requested since the last message to it.
	peerRequest bucketRequest
	// receivedEntries are the entries that the peer has sent since the last message to it.
	receivedEntries map[string]catalog.Entry
	// receivedHoldings are holdings that the peer has sent recently.
	receivedHoldings map[holding]struct{}
}

// bucketRequest is a peer's request for the back ends in some buckets, with the checksums of those
// that it knows.
type bucketRequest struct {
	buckets catalog.Buckets
	known   catalog.Checksums
}

// addPeerRequest records what the peer requested.
func (l *link) addPeerRequest(message Message) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peerRequest.buckets |= message.Requested
	l.peerRequest.known = append(l.peerRequest.known, message.Checksums...)
}

// takePeerRequest returns what the peer requested, and clears it.
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

// incarnationOf returns the incarnation of the back end that has the holdings.
func incarnationOf(holdings dispatch.Holdings) catalog.Incarnation {
	return catalog.Incarnation{ID: holdings.BackEnd, Born: holdings.Born}
}

// maxReceivedHoldings limits the received holdings that a connection remembers, to the number of
// holding updates that a gateway keeps. Beyond it all are forgotten, and may be sent back.
const maxReceivedHoldings = 4096

func newLink(socket *websocket.Conn) *link {
	return &link{
		socket: socket, wake: make(chan struct{}, 1),
		receivedEntries: map[string]catalog.Entry{}, receivedHoldings: map[holding]struct{}{},
	}
}

// recordHoldings records holdings that the peer sent, which needn't be sent back to it.
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

// withoutReceivedHoldings returns the holdings that the peer didn't send itself. A holding that the
// peer sent is left out once and then forgotten, since it may have to be sent again once it is old.
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

// recordEntries records entries that the peer sent, which needn't be sent back to it.
func (l *link) recordEntries(entries []catalog.Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, entry := range entries {
		l.receivedEntries[entry.BackEnd.ID] = entry
	}
}

// withoutReceivedEntries returns the entries that the peer didn't send itself, and forgets those
// that it sent.
func (l *link) withoutReceivedEntries(entries []catalog.Entry) []catalog.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []catalog.Entry
	for _, entry := range entries {
		asReceived := entry
		asReceived.BackEnd.WarmUpAt = catalog.Position{} // not sent between peers
		if received, ok := l.receivedEntries[entry.BackEnd.ID]; !ok || received != asReceived {
			list = append(list, entry)
		}
	}
	clear(l.receivedEntries)
	return list
}

// wakeWriter makes the writer send immediately.
func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
