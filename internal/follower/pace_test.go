package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// startOne runs a gateway that starts in front of 3,000 back ends, among gateways of which
// others read the store.
func startOne(t *testing.T, s *source, reader bool, test func(state *gateway.State)) {
	s.backEnds, s.peers = 3000, true
	follow(t, s, 300, reader, test)
}

func TestListThatPeersTellIsNotReadToItsEnd(t *testing.T) {
	is := is.New(t)
	var s source
	startOne(t, &s, false, func(state *gateway.State) {
		time.Sleep(300 * time.Millisecond)
		is.True(!state.Ready())
		state.OfferBuckets(catalog.AllBuckets, []catalog.Entry{{BackEnd: catalog.BackEnd{ID: "1", Service: "s"}, Revision: 1}})
		time.Sleep(100 * time.Millisecond)
		is.True(state.Ready())
		time.Sleep(5 * time.Second)
		is.True(s.pages.Load() < pagesAtOnce)
		is.True(state.StoreAge() < 6*time.Second) // the first pages were answered
	})
}

// A gateway that nobody tells the list reads it after a while.
func TestListThatNobodyTellsIsRead(t *testing.T) {
	is := is.New(t)
	reading := 3000 / pageSize * pageTime
	for reader, latest := range map[bool]time.Duration{true: meetingTime, false: tellingTime} {
		var s source
		startOne(t, &s, reader, func(state *gateway.State) {
			time.Sleep(latest)
			is.True(!state.Ready())
			time.Sleep(reading + lookPeriod)
			is.True(state.Ready())
		})
	}
}

// A short list takes less time than hearing of a peer.
func TestShortListIsReadAtOnce(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: pagesAtOnce * pageSize, peers: true}
	follow(t, s, 300, false, func(state *gateway.State) {
		time.Sleep(pagesAtOnce * pageTime)
		is.True(state.Ready())
	})
}
