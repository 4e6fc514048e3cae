package soak

import (
	"net/http"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// putRollout writes an operator's order.
func (s *store) putRollout(order catalog.Rollout) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rollouts.put(wire.StoreEntry[catalog.Rollout]{Name: service, Revision: s.next(), Value: order})
}

// removeRollout withdraws the order.
func (s *store) removeRollout() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rollouts.put(wire.StoreEntry[catalog.Rollout]{Name: service, Revision: s.next(), Gone: true})
}

// rolloutState returns the state of the order to move to the version, or rollout.Ordered if it has
// no state yet.
func (s *store) rolloutState(version string) rollout.State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now, exists := latestByName(s.rollouts.history)[service]; exists && !now.Gone && now.Value.Target == version {
		return now.Value.State
	}
	return rollout.Ordered
}

func (s *store) replacedVerdictCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replacedVerdicts
}

// writeRollout writes the progress of an order if the order is still at the writer's revision. A
// state for another target is ignored, but the write still succeeds with a new revision.
func (s *store) writeRollout(w http.ResponseWriter, name string, record catalog.Rollout) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, exists := latestByName(s.rollouts.history)[name]
	switch {
	case !exists || now.Gone:
		w.WriteHeader(http.StatusNotFound)
		return
	case now.Revision != record.Revision:
		w.WriteHeader(http.StatusConflict)
		return
	}
	if record.Target == now.Value.Target {
		if now.Value.State.IsVerdict() && now.Value.State != record.State {
			s.replacedVerdicts++
		}
		now.Value.State, now.Value.BeganAt = record.State, record.BeganAt
	}
	now.Revision = s.next()
	s.rollouts.history = append(s.rollouts.history, now) // not put: the operator remains the order's writer
	s.protocol.WriteObject(w, now.Untyped(), s.era)
}
