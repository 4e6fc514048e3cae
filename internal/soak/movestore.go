package soak

import (
	"net/http"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// putRollout gives an order.
func (s *store) putRollout(order catalog.Rollout) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rollouts.put(wire.StoreEntry[catalog.Rollout]{Name: service, Revision: s.next(), Value: order})
}

// removeRollout takes the order back.
func (s *store) removeRollout() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rollouts.put(wire.StoreEntry[catalog.Rollout]{Name: service, Revision: s.next(), Gone: true})
}

// rolloutState returns how far the order to move to the version has come.
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

// writeRollout takes how far an order has come, if it is at the revision that the writer knows.
// What is said of another target is kept and counts for nothing.
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
	s.rollouts.history = append(s.rollouts.history, now) // the order is still its operator's
	s.protocol.WriteObject(w, now.Untyped(), s.era)
}
