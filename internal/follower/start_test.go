package follower

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// When a fleet starts for the first time, the seeds read the store and send updates to the other
// gateways. A gateway that gets all updates makes no call. One that doesn't reads the store after
// a limited time.
func TestPeersFirstDelaysReadingTheStore(t *testing.T) {
	is := is.New(t)
	start := func(updated bool) (reads int64, ready bool) {
		bubble.Test(t, func(*testing.T) {
			s := &source{backEnds: 3}
			log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
			state := gateway.NewState(dispatch.New(dispatch.DefaultConfig()), log)
			f := Start(Config{Source: s, State: state, ReadPeriod: 800 * time.Millisecond, PeersFirst: true, Log: log, Metrics: tally.NoopScope})
			state.SetFleet(placeOf(23, false), dispatch.Fleet{})
			time.Sleep(300 * time.Millisecond)
			if updated {
				state.OfferConfiguration(&catalog.Configuration{Version: 1, StatedKeyPolicy: catalog.KeysNotRequired}, gateway.SourcePeer)
				state.OfferBuckets(catalog.AllBuckets, nil)
			}
			time.Sleep(3 * time.Second)
			reads, ready = s.reads.Load()+s.configurationReads.Load(), state.Ready()
			f.Close()
			log.Close()
		})
		return reads, ready
	}
	reads, ready := start(true)
	is.True(ready)
	is.Equal(reads, int64(0))
	reads, ready = start(false)
	is.True(ready)
	is.True(reads > 0)
}
