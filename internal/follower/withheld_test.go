package follower

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// withheldSource is the part of a store that keeps withheld requests.
type withheldSource struct {
	mutex   sync.Mutex
	records map[dispatch.Fingerprint]dispatch.CrashRecord
	// refusals is the number of further calls that fail, unanswered that of further calls that get no answer, and calls counts
	// all calls.
	refusals, unanswered, calls int
}

func (s *withheldSource) call(ctx context.Context, step func()) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.unanswered > 0 {
		s.unanswered--
		<-ctx.Done()
		return ctx.Err()
	}
	if s.refusals > 0 {
		s.refusals--
		return errors.New("refused")
	}
	step()
	return nil
}

// callCount returns the number of calls so far.
func (s *withheldSource) callCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// leaveUnanswered makes the next call get no answer.
func (s *withheldSource) leaveUnanswered() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unanswered = 1
}

// recordCount returns the number of records.
func (s *withheldSource) recordCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.records)
}

func (s *source) Withheld(ctx context.Context) (list []dispatch.CrashRecord, err error) {
	err = s.withheld.call(ctx, func() {
		for _, each := range s.withheld.records {
			list = append(list, each)
		}
	})
	return list, err
}

func (s *source) Withhold(ctx context.Context, record dispatch.CrashRecord) error {
	return s.withheld.call(ctx, func() { s.withheld.records[record.Fingerprint] = record })
}

func (s *source) Release(ctx context.Context, fingerprint dispatch.Fingerprint) error {
	return s.withheld.call(ctx, func() { delete(s.withheld.records, fingerprint) })
}

// crashRecord returns a record of three crashes.
func crashRecord(fingerprint dispatch.Fingerprint, at time.Time) dispatch.CrashRecord {
	return dispatch.CrashRecord{Fingerprint: fingerprint, Incarnations: []uint32{1, 2, 3}, Evidence: []uint8{3, 3, 3}, LastAt: at.Unix()}
}

func TestStartedGatewayReadsWithheldRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{backEnds: 1}
		s.withheld.records = map[dispatch.Fingerprint]dispatch.CrashRecord{
			7: crashRecord(7, time.Now()), 8: crashRecord(8, time.Now().Add(-48*time.Hour)),
		}
		s.withheld.refusals = 3
		core := dispatch.New(dispatch.DefaultConfig())
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		defer log.Close()
		f := Start(Config{Source: s, State: gateway.NewState(core, log), ReadPeriod: time.Second, Log: log, Metrics: tally.NoopScope})
		time.Sleep(5 * time.Second)
		calls := s.withheld.callCount()
		time.Sleep(time.Minute)
		f.Close()
		is.Equal(core.Withheld(), []dispatch.Fingerprint{7})
		is.Equal(len(s.withheld.records), 1)    // the expired record is removed
		is.Equal(s.withheld.callCount(), calls) // the list isn't read again
		is.Equal(s.withheld.records[7].LastAt, crashRecord(7, bubbleStart).LastAt)
	})
}

// A write is rare, so the idle connection that it takes may have fallen silent.
func TestRecordIsWrittenSoonAlthoughItsFirstConnectionIsSilent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{backEnds: 1}
		s.withheld.records = map[dispatch.Fingerprint]dispatch.CrashRecord{7: crashRecord(7, time.Now())}
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		defer log.Close()
		state := gateway.NewState(dispatch.New(dispatch.DefaultConfig()), log)
		f := Start(Config{Source: s, State: state, ReadPeriod: time.Second, Log: log, Metrics: tally.NoopScope})
		defer f.Close()
		time.Sleep(5 * time.Second)
		s.withheld.leaveUnanswered()
		is.True(state.ReleaseWithheld(7))
		time.Sleep(firstWriteTimeout + 100*time.Millisecond)
		is.Equal(s.withheld.recordCount(), 0)
	})
}
