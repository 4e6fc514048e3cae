// Package intake bounds what clients can make a process hold by connecting to it and by sending heads of requests:
// connections, and with them descriptors, and the memory of heads. It sits between the listeners of a process and
// net/http, which bounds the time and size of a single head but neither the number of connections nor their memory.
//
// Each listener has a maximum of its own, so that a crowd at one of them leaves room at the others. When a listener is
// nearly full, connections that rest and those without a whole head make room for new ones, first those of the client
// address that has most. A connection isn't ended while a request on it has been read or is under way.
package intake

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a connection was refused or ended.
type Reason string

// The closed list of reasons.
const (
	// Full: the listener had its maximum of connections, and a new one was closed unread.
	Full Reason = "full"
	// MadeRoom: the connection rested, or hadn't sent a whole head, when the listener was nearly full.
	MadeRoom Reason = "made_room"
	// Idle: the connection rested for longer than the idle timeout.
	Idle Reason = "idle"
	// SlowHead: the head of a request took longer than the head timeout.
	SlowHead Reason = "slow_head"
	// LargeHead: the head of a request had more bytes than the limit.
	LargeHead Reason = "large_head"
	// HeadMemory: the heads of all requests together would have taken too much memory.
	HeadMemory Reason = "head_memory"
)

// Reasons lists every reason.
func Reasons() []Reason { return []Reason{Full, MadeRoom, Idle, SlowHead, LargeHead, HeadMemory} }

// IsLackOfRoom reports whether the process had no room, rather than the client its time or size exceeded.
func (r Reason) IsLackOfRoom() bool { return r == Full || r == MadeRoom || r == HeadMemory }

// Limits bounds one connection.
type Limits struct {
	// HeadBytes is the largest size of the head of a request, up to MaxHeadBytes.
	HeadBytes int64
	// HeadTimeout is the time within which a head must arrive: from its first byte, or for the first head of a
	// connection from when it was accepted.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may rest between two requests.
	IdleTimeout time.Duration
}

// Config configures an Intake.
type Config struct {
	// HeadMemory is the memory in bytes that the heads of all connections may take beyond HeadAllowance each; 0 means
	// no limit. A single head is always admitted.
	HeadMemory int64
	// Ended is called for each connection that is refused or ended. It mustn't block.
	Ended func(listener string, reason Reason)
}

// Intake bounds the connections of all listeners of a process. It is safe for concurrent use.
type Intake struct {
	config Config
	// heads is the memory of heads beyond HeadAllowance, in bytes.
	heads atomic.Int64

	// mutex guards listeners.
	mutex     sync.Mutex
	listeners []*Listener
}

// New returns an Intake without listeners.
func New(config Config) *Intake { return &Intake{config: config} }

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Name names the listener in Status and in Config.Ended.
	Name string
	// MaxConnections is the maximum of open connections.
	MaxConnections int
	// Limits returns the limits of each connection. They also apply to connections that are open when they change.
	Limits func() Limits
}

// Listener returns a listener whose connections are bounded.
func (i *Intake) Listener(inner net.Listener, config ListenerConfig) *Listener {
	l := &Listener{Listener: inner, intake: i, config: config, open: map[*connection]struct{}{}, clients: map[string]int{}, ended: map[Reason]uint64{}}
	l.refreshLimits()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.listeners = append(i.listeners, l)
	return l
}

// ConnState is the hook for http.Server.ConnState. The connection may be wrapped by others that have a method NetConn.
func (i *Intake) ConnState(accepted net.Conn, state http.ConnState) {
	for {
		switch each := accepted.(type) {
		case *connection:
			each.setState(state)
			return
		case interface{ NetConn() net.Conn }:
			accepted = each.NetConn()
		default:
			return
		}
	}
}

// SweepPeriod is the time between two looks for connections that are past their time. They are ended up to twice this
// late.
const SweepPeriod = 500 * time.Millisecond

// Run ends connections that are past their time, until done is closed.
func (i *Intake) Run(done <-chan struct{}) {
	ticker := time.NewTicker(SweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			i.sweep()
		case <-done:
			return
		}
	}
}

func (i *Intake) sweep() {
	now := time.Now()
	for _, each := range i.all() {
		each.sweep(now)
	}
}

func (i *Intake) all() []*Listener {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]*Listener(nil), i.listeners...)
}

// chargeHead takes memory for a head that already holds some, and reports whether there was enough. A head gets its memory
// in any case if no other one holds any.
func (i *Intake) chargeHead(bytes, held int64) bool {
	after := i.heads.Add(bytes)
	if i.config.HeadMemory <= 0 || after <= i.config.HeadMemory || after == bytes+held {
		return true
	}
	i.heads.Add(-bytes)
	return false
}

// Status is what a process holds for its clients.
type Status struct {
	// HeadBytes is the memory of heads beyond HeadAllowance for each connection, and MaxHeadBytes its limit; 0 means none.
	HeadBytes    int64            `json:"head_bytes"`
	MaxHeadBytes int64            `json:"max_head_bytes"`
	Listeners    []ListenerStatus `json:"listeners"`
}

// ListenerStatus is what one listener holds.
type ListenerStatus struct {
	Name string `json:"name"`
	// Open is the number of open connections, of which Resting carry no request, and Max is their maximum.
	Open    int `json:"open"`
	Resting int `json:"resting"`
	Max     int `json:"max"`
	// HeadLimitBytes, HeadTimeoutSeconds and IdleTimeoutSeconds are the limits of each connection.
	HeadLimitBytes     int64   `json:"head_limit_bytes"`
	HeadTimeoutSeconds float64 `json:"head_timeout_seconds"`
	IdleTimeoutSeconds float64 `json:"idle_timeout_seconds"`
	// Ended counts the connections that were refused or ended, since the start.
	Ended map[Reason]uint64 `json:"ended"`
}

// Status returns what the process holds now.
func (i *Intake) Status() Status {
	status := Status{HeadBytes: i.heads.Load(), MaxHeadBytes: i.config.HeadMemory}
	for _, each := range i.all() {
		status.Listeners = append(status.Listeners, each.status())
	}
	return status
}
