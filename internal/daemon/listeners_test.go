package daemon

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/settings"
)

// heldAddresses opens listeners of addresses that aren't held. Each is then held by its opener.
type heldAddresses struct {
	mutex sync.Mutex
	held  map[string]bool
	// opened are the addresses in the order in which they were opened.
	opened []string
}

func (h *heldAddresses) listen(_, address string) (net.Listener, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.held[address] {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	h.held[address] = true
	h.opened = append(h.opened, address)
	return idleListener{}, nil
}

func (h *heldAddresses) release(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.held[address] = false
}

// idleListener is a listener whose closing is of no interest.
type idleListener struct{ net.Listener }

func (idleListener) Close() error { return nil }

// newStartingGateway returns a gateway that hasn't opened its listeners.
func newStartingGateway() *Gateway {
	return &Gateway{settings: &settings.Settings{Listen: settings.Listen{Callers: "callers", Peers: "peers", Admin: "admin"}}}
}

// Guards against callers whose connections the system accepts and nobody serves, while another port is waited for.
func TestCallersAreNotAcceptedWhileAnotherPortIsHeld(t *testing.T) {
	for range 20 {
		for _, held := range []string{"peers", "admin"} {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
				defer log.Close()
				addresses := &heldAddresses{held: map[string]bool{held: true}}
				opener := addressOpener{listen: addresses.listen, starting: context.Background(), patience: addressPatience, log: log.Entry()}
				_, err := newStartingGateway().openListeners(opener)
				is.True(err != nil)
				is.True(!slices.Contains(addresses.opened, "callers"))
			})
		}
	}
}

// Guards against two processes with the same settings of which each holds a port that the other waits for.
func TestOfTwoStartsWithTheSameSettingsOneSucceeds(t *testing.T) {
	for range 20 {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
			defer log.Close()
			addresses := &heldAddresses{held: map[string]bool{"callers": true, "peers": true, "admin": true}}
			opener := addressOpener{listen: addresses.listen, starting: context.Background(), patience: addressPatience, log: log.Entry()}
			results := make(chan error, 2)
			for i := range 2 {
				go func() {
					time.Sleep(time.Duration(i) * addressRetryPause / 2)
					_, err := newStartingGateway().openListeners(opener)
					results <- err
				}()
			}
			for _, released := range []string{"callers", "peers", "admin"} { // as by a predecessor that stops
				time.Sleep(time.Second + addressRetryPause/4)
				addresses.release(released)
			}
			first, second := <-results, <-results
			is.True((first == nil) != (second == nil))
		})
	}
}

// Guards against a gateway that gives up its metrics for good because their port was held for longer than a start waits.
func TestListenerWithoutPatienceBoundIsOpenedHoweverLate(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		defer log.Close()
		addresses := &heldAddresses{held: map[string]bool{"metrics": true}}
		opener := addressOpener{listen: addresses.listen, starting: t.Context(), log: log.Entry()}
		go func() {
			time.Sleep(100 * addressPatience)
			addresses.release("metrics")
		}()
		_, err := opener.open("listen.metrics", "metrics")
		is.NoErr(err)
	})
}
