package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// Guards against a gateway that stays unable to tell whether requests need keys after a peer of an earlier build has
// sent it a configuration: it reads the store at once, also if others read the store for it, and tries again
// until the store has that version. Meanwhile it isn't ready.
func TestConfigurationWithoutKeyPolicyIsReadFromTheStore(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3, configuration: &catalog.Configuration{Version: 1, StatedKeyPolicy: catalog.KeysNotRequired}}
	follow(t, s, 340, false, func(state *gateway.State) {
		time.Sleep(time.Second)
		is.True(state.Ready())
		before := s.configurationReads.Load()
		s.failing.Store(true)
		state.OfferConfiguration(&catalog.Configuration{Version: 2}, gateway.SourcePeer)
		time.Sleep(500 * time.Millisecond)
		is.True(!state.Ready())
		s.failing.Store(false)
		time.Sleep(5 * time.Second)
		is.True(!state.Ready()) // the store has an older version
		s.setConfiguration(&catalog.Configuration{Version: 2, StatedKeyPolicy: catalog.KeysRequired})
		time.Sleep(5 * time.Second)
		is.True(state.Ready())
		is.Equal(state.Index().KeyPolicy(), catalog.KeysRequired)
		is.True(s.configurationReads.Load()-before < 20)
	})
}
