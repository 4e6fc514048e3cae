package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/workload"
)

// Phase is the state of an exchange.
type Phase uint8

// The phases of an exchange.
const (
	// Received: no attempt has begun yet.
	Received Phase = iota
	// Sent: an attempt is waiting for its answer.
	Sent
	// Answering: an answer is being passed on to the caller.
	Answering
	// Ended: the caller has the final answer, or has disconnected.
	Ended
)

// attempt is the state of one attempt of an exchange.
type attempt struct {
	// current is the back end of the attempt, or nil once the attempt has ended.
	current *member
	// sentAt is when the attempt began.
	sentAt time.Time
	// rolloutAttempt is the rollout judge's record of the attempt.
	rolloutAttempt *rollout.Attempt
	// slotReleased is set once the attempt no longer counts towards the back end's load.
	slotReleased bool
	// waitEnded is set once the attempt no longer waits for the back end.
	waitEnded bool
	// backup is the copy of the run's memory that was ordered, or nil. continuing is set while the attempt
	// continues the run of an earlier one.
	backup     *backup
	continuing bool
	// attemptEvents counts the events of the attempt that the caller has been sent. It is 0 if the stream
	// isn't watched by its pace.
	attemptEvents int
	// watch is how the silence of the attempt's stream is watched.
	watch StreamWatch
	// answeredAt is when the attempt was answered, and lastEventAt the time of the last event.
	answeredAt  time.Time
	lastEventAt time.Time
	// engine and run account for the attempt in tokens; nil if its member has no engine.
	// hasFirstToken is set once the attempt has its first token.
	engine        *workload.Engine
	run           *workload.Run
	hasFirstToken bool
	// began is set once the attempt has brought an event, or a complete answer.
	began bool
}

// Exchange tracks one request from its arrival to its end. The methods of Core drive it.
type Exchange struct {
	request Request
	service string
	phase   Phase
	// attempt is the latest attempt. silent is an earlier one that fell silent and is kept until the
	// latest one is answered, or nil; see relocate.go.
	attempt
	silent *attempt
	// attempts counts the back ends that may have received the request.
	attempts int
	// failedConnects counts the failed connection attempts.
	failedConnects int
	tried          []string
	// ran is whether the request may have run, as far as is known after all attempts so far.
	ran failure.Ran
	// side is the version that the next attempt may go to during a rollout.
	side rollout.Side
	// completed is set once the caller has a complete answer.
	completed bool
	// lostDraw is set if the request lost the last draw for the places of its service in which it took
	// part.
	lostDraw bool
	// inDemand is set once the request is counted towards the demand for the places of its service.
	inDemand bool
	// refusal is the reason of the request's refusal, or "".
	refusal RefusalReason
	// share is the fair share by which the request was counted, or nil, and counted is what was
	// counted.
	share   *fairshare.Share
	counted fairshare.Request
	// fingerprints caches the request's fingerprints after their first use.
	fingerprints []Fingerprint
	// partFingerprints caches those of the parts that the request shares.
	partFingerprints []Fingerprint
	// continuations counts the attempts that continue the run of an earlier one.
	continuations int
	// events and numbered count the events that the caller has been sent and those of them that have
	// a number. They are 0 if the stream isn't watched by its pace. gaps are the times between events.
	events, numbered int
	gaps             gaps
	// origin is where the stream began, or nil before its first event. originRecorded is set once it
	// is recorded at other gateways.
	origin         *StreamOrigin
	originRecorded bool
	// received is the number of tokens received in all attempts.
	received int
}

// Attempts returns how many back ends may have received the request.
func (x *Exchange) Attempts() int { return x.attempts }

// Ran reports whether a back end ran the request, as far as is known.
func (x *Exchange) Ran() failure.Ran { return x.ran }

// Service returns the service that the request goes to.
func (x *Exchange) Service() string { return x.service }

// Excess reports whether the request is beyond its tenant's fair share of what the service admits.
// It is determined when the request arrives, for all attempts. An excess request gets only the room
// that no other request needs.
func (x *Exchange) Excess() bool { return x.counted.Excess }

func (x *Exchange) wasTried(m *member) bool {
	for _, id := range x.tried {
		if id == m.backEnd.ID {
			return true
		}
	}
	return false
}

// Send describes an attempt to make.
type Send struct {
	// BackEnd is the target of the attempt.
	BackEnd catalog.BackEnd
	// FetchFrom is the address of a back end from which the target may copy the prompt's
	// parts, or "".
	FetchFrom string
	// HeadTimeout is how long to wait for the head of the answer before Core.ReplaceWaiting may choose
	// another back end; 0 means until the deadline.
	HeadTimeout time.Duration
	// Estimate is the estimated load of the target before this attempt, and PoolSize the number
	// of members of its pool.
	Estimate float64
	PoolSize int
	// BackUpTo is the address of the back end to which the memory of the run is backed up, or "", and
	// BackupReason why.
	BackUpTo     string
	BackupReason BackupReason
	// ContinueFrom is the address of the back end that ran the request until now, of whose memory the
	// target has a copy; "" for a new run. ContinueCopy is the ID of that copy; "" means that of the request.
	ContinueFrom, ContinueCopy string
	// EventTokens is the number of tokens in an event of a stream; see Core.Progressed. Predicted
	// is the predicted time to the first token. Both are 0 if work isn't counted in tokens there.
	EventTokens int
	Predicted   time.Duration
}

// Decision is the next step: send an attempt, give up with an error, or, if both are nil,
// pass on the answer that was received. If ReturnToSilent is set, the attempt that was silent is listened to
// instead. If Confirm is set, the run of a broken stream may be continued once it has ended; Core.TakeUp decides
// after that was found out.
type Decision struct {
	Send           *Send
	GiveUp         *failure.Error
	ReturnToSilent bool
	Confirm        *Confirmation
}

const (
	// maxFailedConnects bounds the failed connection attempts per request.
	maxFailedConnects = 4
	// refusalRetryAfter is the Retry-After returned after a back end's refusal.
	refusalRetryAfter = 250 * time.Millisecond
	// minHeadTimeout and headTimeoutObjectives determine the wait for the head of an answer while
	// another back end may be tried: the minimum, and the multiple of the route's objective.
	minHeadTimeout        = time.Second
	headTimeoutObjectives = 3
)

// Begin starts the exchange for a request and decides its first attempt.
func (c *Core) Begin(now time.Time, request Request) (*Exchange, Decision) {
	x := &Exchange{request: request, ran: failure.RanNo}
	x.service = request.Route.Target(request.Seed())
	if request.Origin != nil {
		x.service, x.origin = request.Origin.Service, request.Origin
	}
	c.budget(x.service).Earn()
	c.noteDemand(now, x)
	return x, c.attempt(now, x)
}

// attempt starts an attempt at a back end that it chooses, or gives up if there is none.
func (c *Core) attempt(now time.Time, x *Exchange) Decision {
	if !now.Before(x.request.Deadline) {
		return c.giveUp(now, x, failure.DeadlineUnmeetable, "the deadline passed before a back end answered")
	}
	if !leadsTo(x.request.Route, x.service) {
		return c.giveUp(now, x, failure.StreamVersionGone, "the route no longer leads to "+x.service+", where the stream began; send a new request")
	}
	if c.withholds(now, x) {
		return c.giveUp(now, x, failure.Withheld, "requests of this content, or with a part of its prompt, crash the back ends that run them; don't send it again unchanged")
	}
	c.pickSide(now, x)
	chosen := c.choose(now, x)
	if chosen == nil && c.fallBackToStanding(x) {
		chosen = c.choose(now, x)
	}
	if chosen == nil && c.originIsGone(now, x) {
		return c.giveUp(now, x, failure.StreamVersionGone, "no back end of version "+x.origin.Version+", which began the stream, takes requests; send a new request")
	}
	if chosen == nil {
		x.refusal = c.reasonNoneChosen(now, x)
		return c.giveUp(now, x, failure.PoolExhausted, "no back end of "+x.service+" has room")
	}
	return c.sendTo(now, x, chosen)
}

// sendTo starts an attempt at the chosen back end.
func (c *Core) sendTo(now time.Time, x *Exchange, chosen *member) Decision {
	send := c.newSend(now, x, chosen)
	send.FetchFrom = c.copySource(now, x, chosen)
	send.HeadTimeout = c.headTimeout(now, x, chosen)
	if x.attempts == 0 && c.countsTokens(x) {
		c.backlogOf(x.service).admit(now)
	}
	x.attempts++
	c.noteAdmitted(now, x)
	x.continuing = false
	c.orderBackup(now, x, chosen, send)
	return c.start(now, x, chosen, send)
}

// newSend returns an attempt at the member without what depends on the kind of attempt.
func (c *Core) newSend(now time.Time, x *Exchange, chosen *member) *Send {
	return &Send{BackEnd: chosen.backEnd, Estimate: c.estimate(now, chosen), PoolSize: len(c.poolMembers(now, x.service))}
}

// start records that the attempt at the member begins.
func (c *Core) start(now time.Time, x *Exchange, chosen *member, send *Send) Decision {
	x.phase = Sent
	x.attemptEvents = 0
	x.began = false
	c.noteTrial(now, x)
	x.tried = append(x.tried, chosen.backEnd.ID)
	x.current = chosen
	x.sentAt = now
	x.waitEnded = false
	c.startRolloutAttempt(now, x, chosen)
	c.beginWork(now, x, chosen, send)
	chosen.own++
	c.localResidenceOf(x.service).sent++
	c.recordHealthChange(now, chosen)
	chosen.health.sent(now)
	return Decision{Send: send}
}

// headTimeout limits the wait for the head of an answer only if another attempt is allowed. At a busy
// engine the wait is as long as its silence may last: the request would lose its place there, and
// the others are probably full, too.
func (c *Core) headTimeout(now time.Time, x *Exchange, chosen *member) time.Duration {
	route := x.request.Route
	if !route.MayRepeat() || x.attempts+1 >= route.MaxAttempts || c.retriesLeft(x.service) < 1 {
		return 0
	}
	timeout := max(minHeadTimeout, headTimeoutObjectives*route.Objective)
	if c.isBusy(now, chosen) {
		return max(timeout, busySilenceLimit)
	}
	return timeout
}

// giveUp ends the exchange. A request that may have run gets an error that doesn't promise
// otherwise, regardless of the last cause.
func (c *Core) giveUp(now time.Time, x *Exchange, kind failure.Kind, message string) Decision {
	x.phase = Ended
	c.noteGivenUp(now, x)
	if x.ran != failure.RanNo && kind.Answer().Ran == failure.RanNo {
		kind = failure.BackendFailed
		message += "; an earlier attempt may have run"
	}
	refusal := failure.New(kind, message)
	if kind == failure.PoolExhausted {
		refusal.RetryAfter = c.retryAfter(now, x)
	}
	c.noteRefusal(now, x, refusal)
	return Decision{GiveUp: refusal}
}

// retryAfter returns how long the caller should wait until a back end of the exchange's service
// may accept its request; 0 for the default.
func (c *Core) retryAfter(now time.Time, x *Exchange) time.Duration {
	wait, all := c.earliestRetry(now, x)
	switch {
	case all:
		return wait
	case x.attempts > 0:
		// One back end refused; another one may accept the request at once.
		return refusalRetryAfter
	case c.countsTokens(x) && !c.config.Disabled[Backlog]:
		return spreadReturn(x, c.backlogOf(x.service).refuse(now))
	default:
		return min(wait, failure.PoolExhausted.Answer().RetryAfter)
	}
}
