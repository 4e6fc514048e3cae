package relay

import (
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"

	"github.com/harriernotch/harriernotch/internal/catalog"
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
	// first is the digest of the peer's first message.
	first chan catalog.Digest

	mutex sync.Mutex
	// heard are the entries that the peer told since the last message to it.
	heard map[string]catalog.Entry
}

func newLink(socket *websocket.Conn) *link {
	return &link{
		socket: socket, wake: make(chan struct{}, 1), first: make(chan catalog.Digest, 1),
		heard: map[string]catalog.Entry{},
	}
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
		if heard, ok := l.heard[entry.BackEnd.ID]; !ok || heard != entry {
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
