package follower

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// settledSource is the part of a store that keeps the records of settled services, by their identity.
type settledSource struct {
	mutex   sync.Mutex
	records map[string]dispatch.SettledService
	// failures is the number of writes that fail next, without having an effect yet.
	failures int
	// written are the calls that add or remove a record, in order.
	written []string
}

var errAnswerLost = errors.New("the answer is lost")

func (s *source) SettledServices(context.Context, bool) ([]dispatch.SettledService, error) {
	s.settled.mutex.Lock()
	defer s.settled.mutex.Unlock()
	return slices.Collect(maps.Values(s.settled.records)), nil
}

func (s *source) RecordSettled(_ context.Context, settled dispatch.SettledService) error {
	s.settled.mutex.Lock()
	defer s.settled.mutex.Unlock()
	if s.settled.failures > 0 {
		s.settled.failures--
		return errAnswerLost
	}
	if s.settled.records == nil {
		s.settled.records = map[string]dispatch.SettledService{}
	}
	s.settled.records[settled.Identity] = settled
	s.settled.written = append(s.settled.written, "add "+settled.Identity)
	return nil
}

func (s *source) RemoveSettled(_ context.Context, settled dispatch.SettledService) error {
	s.settled.mutex.Lock()
	defer s.settled.mutex.Unlock()
	delete(s.settled.records, settled.Identity)
	s.settled.written = append(s.settled.written, "remove "+settled.Identity)
	return nil
}

// identities returns the identities of the records in the store, in order.
func (s *settledSource) identities() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.records))
}

// settledAt returns a settled service with a version; its identity is the version.
func settledAt(version string) dispatch.SettledService {
	return dispatch.SettledService{Service: "chat", Version: version, Identity: version}
}

// settlementOf returns what a gateway knows while the only service is settled at a version.
func settlementOf(version string) gateway.Settlement {
	settled := []dispatch.SettledService{settledAt(version)}
	return gateway.Settlement{IsKnown: true, Settled: settled, Unchanged: settled}
}

// withKeeper runs a test on the virtual clock against a gateway that keeps the records of a store.
func withKeeper(t *testing.T, test func(s *source, keeper *settledKeeper)) {
	bubble.Test(t, func(t *testing.T) {
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		defer log.Close()
		s := &source{}
		state := gateway.NewState(dispatch.New(dispatch.DefaultConfig()), log)
		follower := &Follower{config: Config{Source: s, State: state, Log: log}}
		test(s, &settledKeeper{follower: follower, records: settledRecords{}})
		time.Sleep(time.Minute)
	})
}

// Guards against a record that all recorders were lost before removing: it counts again once its version
// serves alone, while streams of the version in between may still be resumed.
func TestRecordIsRemovedByTheRecordersSuccessor(t *testing.T) {
	withKeeper(t, func(s *source, keeper *settledKeeper) {
		is, ctx := is.New(t), context.Background()
		is.NoErr(s.RecordSettled(ctx, settledAt("v1")))
		keeper.update(ctx, settlementOf("v1"))
		keeper.update(ctx, gateway.Settlement{IsKnown: true})
		is.Equal(s.settled.identities(), []string{"v1"}) // it has left this to the recorders
		keeper.update(ctx, gateway.Settlement{IsKnown: true, IsRecorder: true})
		is.Equal(len(s.settled.identities()), 0)
	})
}

// Guards against a settled service without a record after its recorders were lost.
func TestRecordIsAddedByTheRecordersSuccessor(t *testing.T) {
	withKeeper(t, func(s *source, keeper *settledKeeper) {
		is, ctx := is.New(t), context.Background()
		settlement := settlementOf("v1")
		keeper.update(ctx, settlement)
		is.Equal(len(s.settled.identities()), 0)
		settlement.IsRecorder = true
		keeper.update(ctx, settlement)
		is.Equal(s.settled.identities(), []string{"v1"})
	})
}

func TestRecorderKeepsTheRecordsOfARestoredStore(t *testing.T) {
	withKeeper(t, func(s *source, keeper *settledKeeper) {
		is, ctx := is.New(t), context.Background()
		settlement := settlementOf("v2")
		settlement.IsRecorder = true
		keeper.update(ctx, settlement)
		s.settled.records = map[string]dispatch.SettledService{"v1": settledAt("v1")}
		settlement.Era, settlement.Settled[0].Era = 1, 1 // Unchanged has the same entries
		keeper.update(ctx, settlement)
		is.Equal(s.settled.identities(), []string{"v2"})
		is.Equal(s.settled.written, []string{"add v2", "remove v1", "add v2"})
		is.Equal(s.settled.records["v2"].Era, uint64(1)) // it counts in the restored store
	})
}

// Guards against a gateway that removes records before it knows what they describe.
func TestRecordsStayUntilTheServicesAreKnown(t *testing.T) {
	withKeeper(t, func(s *source, keeper *settledKeeper) {
		is, ctx := is.New(t), context.Background()
		is.NoErr(s.RecordSettled(ctx, settledAt("v1")))
		keeper.update(ctx, gateway.Settlement{IsRecorder: true})
		is.Equal(s.settled.identities(), []string{"v1"})
		keeper.update(ctx, gateway.Settlement{IsKnown: true, IsRecorder: true, Unchanged: []dispatch.SettledService{settledAt("v1")}})
		is.Equal(s.settled.identities(), []string{"v1"}) // not known for long enough to tell, and nothing contradicts it
	})
}

// Guards against a write without an answer that takes effect after the record was removed again: the gateway that sent
// it reads the records again, once.
func TestRecordsAreReadAgainAfterAFailedWrite(t *testing.T) {
	withKeeper(t, func(s *source, keeper *settledKeeper) {
		is, ctx := is.New(t), context.Background()
		settlement := settlementOf("v1")
		settlement.IsRecorder = true
		keeper.update(ctx, gateway.Settlement{IsKnown: true, IsRecorder: true})
		time.Sleep(2 * lateWriteTime)
		keeper.update(ctx, gateway.Settlement{IsKnown: true, IsRecorder: true})
		s.settled.failures = 1
		keeper.update(ctx, settlement)
		keeper.update(ctx, gateway.Settlement{IsKnown: true, IsRecorder: true})
		is.Equal(len(s.settled.identities()), 0)
		is.NoErr(s.RecordSettled(ctx, settledAt("v1"))) // the first write takes effect
		time.Sleep(lateWriteTime)
		keeper.update(ctx, gateway.Settlement{IsKnown: true, IsRecorder: true})
		is.Equal(len(s.settled.identities()), 0)
	})
}
