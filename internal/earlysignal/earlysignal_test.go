package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deliveryTimeout bounds a failing test.
const deliveryTimeout = 30 * time.Second

// Guards against a request to stop that is lost because many reloads were requested before it, and nothing has received
// the signals yet.
func TestRequestToStopIsKeptBesideManyReloads(t *testing.T) {
	is := is.New(t)
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGHUP)
	for range 100 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-delivered
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	for received, ends := Stops(), time.After(deliveryTimeout); ; {
		select {
		case each := <-received:
			if each == syscall.SIGTERM {
				return
			}
		case <-ends:
			t.Fatal("SIGTERM was lost")
		}
	}
}
