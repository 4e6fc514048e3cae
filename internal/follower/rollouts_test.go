package follower

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// rolloutSource is the part of a store that keeps a rollout order. It accepts a state only for the
// current revision.
type rolloutSource struct {
	mutex sync.Mutex
	order *catalog.Rollout
	// writes are the states that were written, and lostAnswers is the number of further
	// successful writes whose answers are lost.
	writes      []rollout.State
	lostAnswers int
}

func (s *rolloutSource) list(at catalog.Position) ([]catalog.Rollout, catalog.Position, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.order == nil {
		return nil, at, nil
	}
	at.Revision = max(at.Revision, s.order.Revision)
	return []catalog.Rollout{*s.order}, at, nil
}

func (s *rolloutSource) write(record catalog.Rollout) (catalog.Rollout, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.order == nil || s.order.Revision != record.Revision {
		return catalog.Rollout{}, ErrConflict
	}
	record.Unwritten = false
	record.Revision++
	s.order = &record
	s.writes = append(s.writes, record.State)
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return catalog.Rollout{}, errors.New("the answer is lost")
	}
	return record, nil
}

func (s *rolloutSource) written() []rollout.State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]rollout.State(nil), s.writes...)
}

// followRollouts runs test with the followers of several readers of one store. The store holds an
// order to move to a version whose back ends never appear.
func followRollouts(t *testing.T, s *source, gateways int, test func(states []*gateway.State)) {
	bubble.Test(t, func(t *testing.T) {
		s.rollouts.order = &catalog.Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 5, Era: s.era.Load()}
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		var states []*gateway.State
		var followers []*Follower
		for rank := range gateways {
			config := dispatch.DefaultConfig()
			config.Rollout = rollout.Limits{Share: 0.1, Extra: 50}
			state := gateway.NewState(dispatch.New(config), log)
			state.AwaitRollouts()
			state.SetFleet(gateway.Place{Gateways: gateways, Duty: gateway.Reader, Rank: rank}, dispatch.Fleet{})
			states = append(states, state)
			followers = append(followers, Start(Config{Source: s, State: state, ReadPeriod: 800 * time.Millisecond, Rollouts: true, Log: log, Metrics: tally.NoopScope}))
		}
		test(states)
		for _, each := range followers {
			each.Close()
		}
		log.Close()
	})
}

// An order whose back ends never appear is reverted at its deadline. Each state is written once,
// regardless of the number of gateways that find it due.
func TestRolloutStateIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	followRollouts(t, s, 3, func([]*gateway.State) { time.Sleep(20 * time.Second) })
	is.Equal(s.rollouts.written(), []rollout.State{rollout.InProgress, rollout.Reverted})
}

// The store has done a write whose answer is lost. The next try gets a conflict, and reads the
// order instead of writing it again.
func TestLostAnswerOfAWriteDoesNotWriteTwice(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	s.rollouts.lostAnswers = 2
	followRollouts(t, s, 2, func(states []*gateway.State) {
		time.Sleep(20 * time.Second)
		for _, state := range states {
			is.Equal(state.Status().Rollouts[0].State, rollout.Reverted.String())
		}
	})
	is.Equal(s.rollouts.written(), []rollout.State{rollout.InProgress, rollout.Reverted})
}

// A gateway isn't ready before it knows the rollout orders.
func TestGatewayIsReadyOnceItKnowsTheRollouts(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	followRollouts(t, s, 1, func(states []*gateway.State) {
		is.True(!states[0].Ready())
		time.Sleep(time.Second)
		is.True(states[0].Ready())
		is.Equal(len(states[0].Status().Rollouts), 1)
	})
}

// If a store is restored from a backup that is older than a verdict, the verdict is written again.
func TestRolloutStateIsWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3, evacuations: true}
	s.era.Store(1)
	followRollouts(t, s, 3, func(states []*gateway.State) {
		time.Sleep(14 * time.Second)
		is.Equal(s.rollouts.written(), []rollout.State{rollout.InProgress, rollout.Reverted})
		s.era.Store(2)
		s.rollouts.mutex.Lock()
		s.rollouts.order = &catalog.Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 5, Era: 2}
		s.rollouts.mutex.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(states[0].Era(), uint64(2))
		is.Equal(s.rollouts.written(), []rollout.State{rollout.InProgress, rollout.Reverted, rollout.Reverted})
	})
}
