package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// An engine can back up the memory of a running request to another engine as it grows. If the first
// engine fails, the second one continues the run and prefills only what hadn't arrived. A backup is
// ordered when the request is sent, because the order is part of the request. Copying everything
// costs more than it saves (12,000 tokens are 220 MB), so a backup is ordered only where the engine
// is likely to fail before the request ends.

// BackupReason says why a backup is ordered; "" means that none is.
type BackupReason string

// The closed list of reasons.
const (
	// BackupLeaving: the engine is leaving or its zone is being evacuated.
	BackupLeaving BackupReason = "leaving"
	// BackupSuspect: recent outcomes or reports suggest that the engine may fail.
	BackupSuspect BackupReason = "suspect"
	// BackupShared: Config.BackupShare selects the request.
	BackupShared BackupReason = "share"
)

// engineCondition is what is known of an engine when a request is sent there.
type engineCondition struct {
	health Health
	// failedRecently is true if an attempt there failed, for any reason, within suspicionTime.
	failedRecently bool
	// vanished is true if the engine disappeared from the list without having announced that it
	// leaves.
	vanished bool
	// leaving is true if the engine leaves or is evacuated.
	leaving bool
	// pace is the time that work takes there, relative to the usual time; 0 if unknown.
	pace float64
}

const (
	// suspicionTime is how long after a failure an engine counts as suspect. A request that is sent
	// there runs for some seconds.
	suspicionTime = 5 * time.Second
	// suspectPace is the pace from which an engine counts as suspect. Engines differ by a factor of
	// 1.3, and neighbours on the same machine slow one down by 2.5: both are ordinary.
	suspectPace = 3.5
)

// reason returns why requests at the engine are backed up.
func (e engineCondition) reason() BackupReason {
	switch {
	case e.leaving:
		return BackupLeaving
	case e.health != Healthy, e.failedRecently, e.vanished, e.pace >= suspectPace:
		return BackupSuspect
	default:
		return ""
	}
}

// runSize is the size of a request, in tokens, and what its route allows.
type runSize struct {
	prompt, output int
	mayRepeat      bool
}

// decodeCost is the work of an engine for a decoded token in multiples of that for a prefilled one.
// With 64 streams, a step of 9.6 ms decodes 64 tokens, and 57 tokens are prefilled in a millisecond.
const decodeCost = 8

// loss returns the work that is lost if the run's engine fails halfway, in prefilled tokens. A run
// that may be repeated is resumed elsewhere: the prompt and the output so far are prefilled again.
// Otherwise the caller has to send the request again, and the output is decoded again.
func (r runSize) loss() int {
	if r.mayRepeat {
		return r.prompt + r.output/2
	}
	return r.prompt + decodeCost*r.output/2
}

// memory returns the memory of the complete run.
func (r runSize) memory() int { return r.prompt + r.output }

// backupCost is what a backup costs.
type backupCost struct {
	// tokens are copied, of tokenBytes each.
	tokens, tokenBytes int
	// freeMemory is the memory of the target, in tokens, that nothing else is expected to need.
	freeMemory int
}

// copyBytesPerToken is the number of copied bytes that cost the engines as much as prefilling one
// token: copying 10,000 tokens of 18,432 bytes takes 16 ms, and prefilling them 0.2 s.
const copyBytesPerToken = 10_000 * 18_432 * 200 / (10_000 * 16)

// work returns the cost of the copy in prefilled tokens.
func (b backupCost) work() int { return b.tokens * b.tokenBytes / copyBytesPerToken }

// minBackupLoss is the smallest loss, in prefilled tokens, that is worth a backup: a smaller one costs
// no more than setting up a copy, as for minPublishedTokens.
const minBackupLoss = minPublishedTokens

// failureChance returns the probability with which the engine is taken to fail, or to end the run,
// before the run has ended. It weighs the loss against the cost of a backup; an engine without a
// reason gets none at any cost.
func (r BackupReason) failureChance() float64 {
	switch r {
	case BackupLeaving:
		return 0.5
	case BackupSuspect:
		return 0.1
	case BackupShared:
		return 1 // all long requests, for measuring
	default:
		return 0
	}
}

// worthBackup decides whether a run is backed up: the expected loss must exceed the cost, and the
// target must have the memory.
func worthBackup(reason BackupReason, size runSize, cost backupCost) bool {
	loss := size.loss()
	return reason != "" && loss >= minBackupLoss && cost.tokens <= cost.freeMemory &&
		reason.failureChance()*float64(loss) > float64(cost.work())
}

// backup is a copy of a run's memory that was ordered.
type backup struct {
	// source is the address of the engine that runs the request, and target the engine that
	// receives the copy.
	source string
	target catalog.BackEnd
	tokens int
}

// backsUp reports whether runs of the service can be backed up.
func (c *Core) backsUp(service catalog.Service) bool {
	return service.Backups && service.TokenBytes > 0 && service.CacheTokens > 0 && !c.config.Disabled[Backups]
}

// orderBackup decides whether the run that is about to be sent to the member is backed up and where,
// and adds the order to send. Only streams can be continued, and only requests that state their
// tokens have a known size.
func (c *Core) orderBackup(now time.Time, x *Exchange, m *member, send *Send) {
	c.endBackup(x)
	service := c.services[x.service]
	if !c.backsUp(service) || !x.request.Route.Stream || x.request.PromptTokens <= 0 {
		return
	}
	size := runSize{prompt: x.request.PromptTokens, output: x.request.OutputTokens, mayRepeat: x.request.Route.MayRepeat()}
	c.noteRunMemory(x.service, size)
	if !c.backlogOf(x.service).isEmpty(now) {
		// While requests are refused, their places and memory are worth more than backups. Engines
		// that are merely full also look suspect then.
		return
	}
	reason := c.conditionOf(now, m).reason()
	if reason == "" && !size.mayRepeat && isInBackupShare(x.request.ID, c.config.BackupShare) {
		reason = BackupShared
	}
	if reason == "" || size.loss() < minBackupLoss {
		return
	}
	target, cost := c.backupTarget(now, x, m, size)
	if target == nil || !worthBackup(reason, size, cost) {
		return
	}
	x.backup = &backup{source: m.backEnd.Address, target: target.backEnd, tokens: cost.tokens}
	target.copies += cost.tokens
	c.backedUpRuns[x.service]++
	send.BackUpTo, send.BackupReason = target.backEnd.Address, reason
}

// endBackup ends the account of the exchange's backup, if there is one. The engine frees the copy
// itself, at once after a complete answer.
func (c *Core) endBackup(x *Exchange) {
	if x.backup == nil {
		return
	}
	if m := c.members[x.backup.target.ID]; m != nil && m.backEnd.Incarnation().Matches(x.backup.target.Incarnation()) {
		m.copies = max(m.copies-x.backup.tokens, 0)
	}
	c.backedUpRuns[x.service]--
	x.backup = nil
}

// isInBackupShare selects a fraction of the requests by a hash of their ID.
func isInBackupShare(request string, share float64) bool {
	return hashFraction("backup "+request) < share
}

// conditionOf returns what is known of the member's condition.
func (c *Core) conditionOf(now time.Time, m *member) engineCondition {
	condition := engineCondition{
		health: m.health.status(now), leaving: m.backEnd.Leaving || m.evacuated, vanished: c.members[m.backEnd.ID] != m,
		failedRecently: !m.health.lastFailureAt.IsZero() && now.Sub(m.health.lastFailureAt) < suspicionTime,
	}
	if now.Sub(m.paceAt) <= maxReportAge {
		condition.pace = m.pace
	}
	return condition
}

// ReportPace records the pace that the back end of the current attempt reported; 0 if it reported
// none.
func (c *Core) ReportPace(now time.Time, x *Exchange, pace float64) {
	if m := x.current; m != nil && pace > 0 {
		m.pace, m.paceAt = pace, now
	}
}

// runMemoryWeight is the weight of the newest request in the mean memory of a run. Sizes differ a
// hundredfold, so the mean covers about the last 50 requests.
const runMemoryWeight = 0.02

// noteRunMemory records the size of a request of the service.
func (c *Core) noteRunMemory(service string, size runSize) {
	mean, known := c.runMemory[service]
	if !known {
		mean = float64(size.memory())
	}
	c.runMemory[service] = mean + runMemoryWeight*(float64(size.memory())-mean)
}

// spareMemoryShare is the share of an engine's memory that backups leave free: cached parts that are
// in use take up some of it, and the loads of other gateways are out of date. The value is an
// assumption, since the memory in use isn't reported.
const spareMemoryShare = 0.25

// freeMemory estimates the memory of the member that neither running requests nor backups need. It
// contains only the backups of this gateway. If other gateways fill the memory with theirs, the
// engine stops receiving some, and these runs can't be continued.
func (c *Core) freeMemory(now time.Time, m *member) int {
	capacity := (1 - spareMemoryShare) * float64(c.services[m.backEnd.Service].CacheTokens)
	return int(capacity - c.estimate(now, m)*c.runMemory[m.backEnd.Service] - float64(m.copies))
}

// backupTarget returns the member that is to receive the backup of a run at the source, and what the
// backup costs there; nil if there is none. Members that hold the shared parts of the prompt come
// first, because they only need the rest. Of the first two in the order of a hash of the request,
// the one with more memory is chosen: with the first one alone the copies would be distributed less
// evenly, and with the freest one all gateways would choose the same until they hear of it.
func (c *Core) backupTarget(now time.Time, x *Exchange, source *member, size runSize) (*member, backupCost) {
	holders := c.holders.holdersOf(now, keyOf(x.request.affinity()))
	var best, second backupCandidate
	for _, m := range c.poolMembers(now, x.service) {
		if !c.canReceiveBackup(now, x, m, source) {
			continue
		}
		holdsParts := x.request.affinity() != "" && slices.ContainsFunc(holders, m.backEnd.Incarnation().Matches)
		candidate := c.newBackupCandidate(now, x, m, size, holdsParts)
		switch {
		case candidate.cost.tokens > candidate.cost.freeMemory:
		case candidate.precedes(best):
			best, second = candidate, best
		case candidate.precedes(second):
			second = candidate
		}
	}
	if second.member != nil && second.holdsParts == best.holdsParts && second.cost.freeMemory > best.cost.freeMemory {
		best = second
	}
	return best.member, best.cost
}

// backupCandidate is a member that can receive a backup.
type backupCandidate struct {
	member     *member
	holdsParts bool
	hash       uint64
	cost       backupCost
}

// newBackupCandidate returns the member as a candidate for the backup of a run of the given size.
func (c *Core) newBackupCandidate(now time.Time, x *Exchange, m *member, size runSize, holdsParts bool) backupCandidate {
	tokens := size.memory()
	if holdsParts {
		tokens = max(tokens-x.request.sharedTokens(), 0)
	}
	return backupCandidate{
		member: m, holdsParts: holdsParts, hash: xxhash.Sum64String(x.request.ID + m.backEnd.ID),
		cost: backupCost{tokens: tokens, tokenBytes: c.services[x.service].TokenBytes, freeMemory: c.freeMemory(now, m)},
	}
}

// precedes reports whether the candidate comes before another one, which may be zero.
func (b backupCandidate) precedes(other backupCandidate) bool {
	if other.member == nil || b.holdsParts != other.holdsParts {
		return other.member == nil || b.holdsParts
	}
	return b.hash < other.hash
}

// canReceiveBackup reports whether the member can receive a backup from the source and is expected
// to be able to continue the run: it works, is warm, has room for one more request, and runs the
// same version, since another one may store its memory differently.
func (c *Core) canReceiveBackup(now time.Time, x *Exchange, m, source *member) bool {
	return m != source && m.backEnd.Address != source.backEnd.Address && m.backEnd.Version == source.backEnd.Version &&
		c.conditionOf(now, m).reason() == "" && !c.isWarmingUp(now, m) &&
		c.acceptsNew(now, x, m) && !x.wasTried(m) && c.hasRoom(now, m, x)
}
