package soak

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// store is a stand-in for the platform's store with injected faults. Writes of operators and back
// ends are direct calls and take effect at once, independently of the faults.
type store struct {
	protocol wire.Protocol

	mutex    sync.Mutex
	revision uint64
	// era is the number of the current history and rises with every restore. times holds the
	// time at which each revision of this history was assigned.
	era   uint64
	times map[uint64]time.Time
	// oldest is the oldest revision from which a watch can continue.
	oldest         uint64
	configurations objects[catalog.Configuration]
	backEnds       objects[catalog.BackEnd]
	evacuations    objects[catalog.Evacuation]
	rollouts       objects[catalog.Rollout]
	// gatewayObjects are the objects that the gateways write, by kind.
	gatewayObjects map[wire.StoreKind][]wire.StoreEntry[[]byte]
	// replacedVerdicts counts the verdicts on roll-outs that were replaced by a different state.
	replacedVerdicts int
	changed          chan struct{}
	// silent, busy and slow count the active faults that leave every call unanswered, refuse it
	// and delay its answer.
	silent, busy, slow int
}

// slowAnswer is the delay of answers during StoreSlow.
const slowAnswer = 700 * time.Millisecond

// maxHistory is the number of past revisions from which a watch can continue.
const maxHistory = 64

func newStore(protocol wire.Protocol) *store {
	return &store{
		protocol: protocol, changed: make(chan struct{}), era: 1, times: map[uint64]time.Time{},
		configurations: newObjects[catalog.Configuration](), backEnds: newObjects[catalog.BackEnd](),
		evacuations: newObjects[catalog.Evacuation](), rollouts: newObjects[catalog.Rollout](),
		gatewayObjects: map[wire.StoreKind][]wire.StoreEntry[[]byte]{},
	}
}

func (s *store) putConfiguration(configuration catalog.Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configurations.put(wire.StoreEntry[catalog.Configuration]{Name: "main", Revision: s.next(), Value: configuration})
}

func (s *store) putBackEnd(backEnd catalog.BackEnd) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backEnds.put(wire.StoreEntry[catalog.BackEnd]{Name: backEnd.ID, Revision: s.next(), Value: backEnd})
}

func (s *store) removeBackEnd(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backEnds.put(wire.StoreEntry[catalog.BackEnd]{Name: id, Revision: s.next(), Gone: true, Value: catalog.BackEnd{ID: id}})
}

// putEvacuation orders or withdraws the evacuation of a zone.
func (s *store) putEvacuation(zone string, withdrawn bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evacuations.put(wire.StoreEntry[catalog.Evacuation]{Name: zone, Revision: s.next(), Gone: withdrawn})
}

// restore restores a backup of the given age: later writes are lost, and their revisions are
// assigned again. The returned function makes operators and back ends write their lost objects
// again.
func (s *store) restore(age time.Duration) (rewrite func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := time.Now().Add(-age)
	copied := s.revision
	for copied > 0 && s.times[copied].After(taken) {
		delete(s.times, copied)
		copied--
	}
	s.configurations.truncate(copied)
	s.backEnds.truncate(copied)
	s.evacuations.truncate(copied)
	s.rollouts.truncate(copied)
	for kind, history := range s.gatewayObjects {
		s.gatewayObjects[kind] = changesUpTo(history, copied)
	}
	s.era++
	s.revision, s.oldest = copied, min(s.oldest, copied)
	close(s.changed)
	s.changed = make(chan struct{})
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.configurations.rewriteLost(s.next)
		s.backEnds.rewriteLost(s.next)
		s.evacuations.rewriteLost(s.next)
		s.rollouts.rewriteLost(s.next)
	}
}

// isUnavailable returns whether operators can't write to the store at the moment.
func (s *store) isUnavailable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent > 0 || s.busy > 0
}

// next assigns the revision of a change and wakes the watches. The mutex is held.
func (s *store) next() uint64 {
	s.revision++
	s.times[s.revision] = time.Now()
	if s.revision > s.oldest+maxHistory {
		s.oldest = s.revision - maxHistory
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// advance uses up the number of revisions, like changes of other writers.
func (s *store) advance(changes uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range changes {
		s.next()
	}
}

// dropHistory drops the history, so that clients must list again before they can watch.
func (s *store) dropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.times[s.revision] = time.Now()
	s.oldest = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeFaults changes one of the counts of active faults.
func (s *store) changeFaults(count func(*store) *int, by int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	*count(s) += by
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	silent, busy, slow := s.silent > 0, s.busy > 0, s.slow > 0
	s.mutex.Unlock()
	switch {
	case silent:
		// The server detects that the client has disconnected only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case slow:
		sleep(r.Context(), slowAnswer)
	}
	if write, ok := s.protocol.ReadStoreWrite(r); ok {
		if write.Rollout != nil {
			s.writeRollout(w, write.Name, *write.Rollout)
		} else {
			s.write(w, write)
		}
		return
	}
	call := s.protocol.ReadStoreCall(r)
	if call.Watch && !s.awaitChanges(r, call) {
		w.WriteHeader(http.StatusGone)
		return
	}
	s.respond(w, call)
}

// write creates or removes an object of the gateways.
func (s *store) write(w http.ResponseWriter, write wire.StoreWrite) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	exists := slices.ContainsFunc(liveEntries(s.gatewayObjects[write.Kind]), func(each wire.StoreEntry[[]byte]) bool { return each.Name == write.Name })
	switch {
	case write.Gone && !exists:
		w.WriteHeader(http.StatusNotFound)
	case !write.Gone && exists:
		w.WriteHeader(http.StatusConflict)
	default:
		s.gatewayObjects[write.Kind] = append(s.gatewayObjects[write.Kind], wire.StoreEntry[[]byte]{Name: write.Name, Revision: s.next(), Gone: write.Gone, Value: write.Spec})
	}
}

// awaitChanges waits until there are changes for the watch or its time has passed. It returns
// false if the watch can't continue: the history after its revision is no longer available, or the
// store was restored during the watch or to an earlier revision.
func (s *store) awaitChanges(r *http.Request, call wire.StoreCall) bool {
	timer := time.NewTimer(call.Wait)
	defer timer.Stop()
	era := s.currentEra()
	for {
		s.mutex.Lock()
		gone := call.After < s.oldest || call.After > s.revision || era != s.era
		pending, changed := s.hasChanges(call), s.changed
		s.mutex.Unlock()
		if gone || pending {
			return !gone
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return true
		}
	}
}

func (s *store) currentEra() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

func (s *store) hasChanges(call wire.StoreCall) bool {
	switch call.Kind {
	case wire.BackEnds:
		return len(changesAfter(s.backEnds.history, call.After)) > 0
	case wire.Evacuations:
		return len(changesAfter(s.evacuations.history, call.After)) > 0
	case wire.Rollouts:
		return len(changesAfter(s.rollouts.history, call.After)) > 0
	case wire.GatewayObjects, wire.SettledServices:
		return len(changesAfter(s.gatewayObjects[call.Kind], call.After)) > 0
	default:
		return len(changesAfter(s.configurations.history, call.After)) > 0
	}
}

func (s *store) respond(w http.ResponseWriter, call wire.StoreCall) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch call.Kind {
	case wire.BackEnds:
		s.protocol.WriteList(w, newStoreAnswer(s.backEnds.history, call, s.revision, s.era))
	case wire.Evacuations:
		s.protocol.WriteList(w, newStoreAnswer(s.evacuations.history, call, s.revision, s.era))
	case wire.Rollouts:
		s.protocol.WriteList(w, newStoreAnswer(s.rollouts.history, call, s.revision, s.era))
	case wire.GatewayObjects, wire.SettledServices:
		s.protocol.WriteList(w, newStoreAnswer(s.gatewayObjects[call.Kind], call, s.revision, s.era))
	default:
		s.protocol.WriteList(w, newStoreAnswer(s.configurations.history, call, s.revision, s.era))
	}
}

func newStoreAnswer[T any](history []wire.StoreEntry[T], call wire.StoreCall, revision, era uint64) wire.StoreAnswer[any] {
	answer := wire.StoreAnswer[any]{Watch: call.Watch, Revision: revision, Era: era}
	for _, each := range entries(history, call) {
		answer.Entries = append(answer.Entries, each.Untyped())
	}
	return answer
}

func entries[T any](history []wire.StoreEntry[T], call wire.StoreCall) []wire.StoreEntry[T] {
	if call.Watch {
		return changesAfter(history, call.After)
	}
	return liveEntries(history)
}

// changesAfter returns the changes after a revision.
func changesAfter[T any](history []wire.StoreEntry[T], after uint64) []wire.StoreEntry[T] {
	var list []wire.StoreEntry[T]
	for _, entry := range history {
		if entry.Revision > after {
			list = append(list, entry)
		}
	}
	return list
}

// liveEntries returns the latest entry of each name, ordered by name, without the removed ones.
func liveEntries[T any](history []wire.StoreEntry[T]) []wire.StoreEntry[T] {
	var list []wire.StoreEntry[T]
	for _, entry := range latestByName(history) {
		if !entry.Gone {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b wire.StoreEntry[T]) int { return strings.Compare(a.Name, b.Name) })
	return list
}
