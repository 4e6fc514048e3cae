// Package origins keeps, for each stream that a caller may resume, the service and the software version
// at which it began, at two gateways beside the one that began it. So a stream can be resumed at its
// version after that gateway was killed.
//
// Gateways are divided into groups by hash, and a record is kept within the group of the gateway that
// began the stream, at the first two in rendezvous order of the attempt's key. A gateway that has to
// resume a stream asks the first few of each group. Records are only needed while a route leads to more
// than one version, and questions are only asked when a caller resumes a stream and when a gateway has just
// started.
//
// The package decides where records are kept and whom to ask; what follows from the answers is decided
// by package dispatch.
package origins

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/peerlink"
	"github.com/harriernotch/harriernotch/internal/task"
)

// Path is where a gateway accepts queries of other gateways.
const Path = "/origins"

// Source is the state of one gateway.
type Source interface {
	// Live returns the live gateways, including this one.
	Live() []Gateway
	// TakeOrigins returns the new records of this gateway, and OriginsReady signals that there are any.
	TakeOrigins() []dispatch.OriginRecord
	OriginsReady() <-chan struct{}
	// KeepOrigins keeps records of other gateways.
	KeepOrigins(records []dispatch.OriginRecord)
	// AnswerOrigin returns what this gateway knows.
	AnswerOrigin(question dispatch.OriginQuestion) dispatch.OriginAnswer
	// UnsettledRoutes returns questions about routes to other gateways, and SettleRoute adopts an answer.
	UnsettledRoutes() []dispatch.OriginQuestion
	SettleRoute(question dispatch.OriginQuestion, answer dispatch.OriginAnswer)
}

// Config configures a Service.
type Config struct {
	// ID is this gateway's ID.
	ID string
	// Source is this gateway's state.
	Source Source
	// Dial opens connections; nil means TCP.
	Dial hop.DialFunc
	// Clock measures ages; nil is the monotonic one.
	Clock *clock.Clock
	// Log and Metrics receive events and metrics for operators.
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

const (
	// keepTimeout is how long a gateway may take to acknowledge records, and skipTime how long one that
	// didn't is passed over.
	keepTimeout = 400 * time.Millisecond
	skipTime    = 3 * time.Second
	// findTimeout is how long the answers to a question are waited for. A caller waits meanwhile.
	findTimeout = 250 * time.Millisecond
	// settlePeriod is the time between two rounds of questions about unsettled routes, settlePeers the
	// number of gateways that each goes to, and settleTime how long after its start a gateway asks.
	settlePeriod = 500 * time.Millisecond
	settlePeers  = 3
	settleTime   = 5 * time.Second
	// idleTimeout is how long a connection may go without a query.
	idleTimeout = 10 * time.Second
	// maxQueued limits the records that wait for one gateway.
	maxQueued = 4 * maxBatch
)

// Service sends this gateway's records to others, keeps theirs, and asks them.
type Service struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	tasks  *task.Group
	links  *peerlink.Client
	// messages reads the queries of other gateways.
	messages *peerlink.Messages
	// startedAt is when the service started.
	startedAt time.Time

	mutex  sync.Mutex
	closed bool
	// queues hold the records that wait for a gateway, by its ID. While there is a queue, a task sends
	// it.
	queues map[string][]dispatch.OriginRecord
	// skippedUntil is when a gateway that failed gets records again, by its ID.
	skippedUntil map[string]time.Time
}

// Start starts sending records.
func Start(config Config) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config: config, ctx: ctx, cancel: cancel, startedAt: config.Clock.Now(),
		messages: peerlink.NewMessages(),
		links:    peerlink.NewClient(peerlink.Config{ID: config.ID, Path: Path, Dial: config.Dial, MaxMessageBytes: maxMessageBytes}),
		queues:   map[string][]dispatch.OriginRecord{}, skippedUntil: map[string]time.Time{},
		tasks: task.NewGroup(config.Log, config.Metrics),
	}
	s.tasks.Keep(ctx, "publish_origins", s.run)
	return s
}

// Close ends all connections.
func (s *Service) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.cancel()
	s.tasks.Wait()
	s.links.Close()
}

func (s *Service) run() {
	settling := time.NewTicker(settlePeriod)
	defer settling.Stop()
	for {
		select {
		case <-s.config.Source.OriginsReady():
			s.publish(s.config.Source.TakeOrigins())
		case <-settling.C:
			if !s.settleRoutes() {
				settling.Stop()
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// publish queues the records for the gateways that are to keep them.
func (s *Service) publish(records []dispatch.OriginRecord) {
	live := s.usable()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	for _, record := range records {
		for _, holder := range holders(record.Key, s.config.ID, live) {
			waiting, isSending := s.queues[holder.ID]
			if len(waiting) >= maxQueued {
				s.config.Metrics.Counter("origins_lost").Inc(1)
				continue
			}
			s.queues[holder.ID] = append(waiting, record)
			if !isSending {
				s.tasks.Go("send_origins", func() { s.send(holder) })
			}
		}
	}
}

// usable returns the live gateways without those that are passed over.
func (s *Service) usable() []Gateway {
	live := s.config.Source.Live()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.config.Clock.Now()
	usable := make([]Gateway, 0, len(live))
	for _, each := range live {
		if !now.Before(s.skippedUntil[each.ID]) {
			usable = append(usable, each)
		}
	}
	return usable
}

// send sends the queue of a gateway until it is empty. Records that arrive meanwhile go together in the
// next message. If the gateway doesn't acknowledge them, others keep them instead.
func (s *Service) send(to Gateway) {
	for {
		batch := s.takeBatch(to.ID)
		if len(batch) == 0 {
			return
		}
		if _, err := s.query(to, keepTimeout, queryMessage{Records: batch}); err != nil {
			s.passOver(to, batch, err)
			return
		}
		s.config.Metrics.Counter("origins_sent").Inc(int64(len(batch)))
	}
}

// takeBatch takes the next records from the queue of a gateway, and removes the queue if it is empty.
func (s *Service) takeBatch(id string) []dispatch.OriginRecord {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waiting := s.queues[id]
	if len(waiting) == 0 {
		delete(s.queues, id)
		return nil
	}
	batch := waiting[:min(maxBatch, len(waiting))]
	s.queues[id] = waiting[len(batch):]
	return batch
}

// passOver sends no records to a gateway for a while after it failed, and those of the batch and of its
// queue to the gateways that follow it.
func (s *Service) passOver(failed Gateway, batch []dispatch.OriginRecord, cause error) {
	s.mutex.Lock()
	records := append(batch, s.queues[failed.ID]...)
	delete(s.queues, failed.ID)
	s.skippedUntil[failed.ID] = s.config.Clock.Now().Add(skipTime)
	s.mutex.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	if !errors.Is(cause, peerlink.ErrUnsupported) {
		s.config.Metrics.Counter("origins_redirected").Inc(int64(len(records)))
	}
	s.publish(records)
}

func (s *Service) query(to Gateway, timeout time.Duration, message queryMessage) (answerMessage, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	raw, err := cbor.Marshal(message)
	if err != nil {
		return answerMessage{}, err
	}
	answer, err := s.links.Query(ctx, to.ID, to.Address, raw)
	if err != nil {
		return answerMessage{}, err
	}
	return decodeAnswer(answer)
}

// ServeHTTP accepts a connection from another gateway.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peerlink.Serve(s.ctx, w, r, peerlink.ServeConfig{
		MaxMessageBytes: maxMessageBytes, IdleTimeout: idleTimeout, Messages: s.messages, Answer: s.answerQuery,
	})
}

func (s *Service) answerQuery(raw []byte) ([]byte, error) {
	var query queryMessage
	if err := cbor.Unmarshal(raw, &query); err != nil {
		return nil, err
	}
	s.config.Source.KeepOrigins(query.Records)
	var reply answerMessage
	if query.Question != nil {
		answer := s.config.Source.AnswerOrigin(*query.Question)
		reply.Answer = &answer
	}
	return cbor.Marshal(reply)
}
