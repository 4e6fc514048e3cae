package simulation

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Result is the result of a run.
type Result struct {
	// Size, Policy and Seed identify the run.
	Size   string
	Policy string
	Seed   uint64
	// Digest is a hash of the event log, LogLines its length.
	Digest   uint64
	LogLines uint64
	// Violations are the first broken promises, at most twenty; Counts is the number of
	// violations of each promise.
	Violations []Violation
	Counts     map[string]int
	// LastEvents are the last lines of the event log.
	LastEvents []string `json:"-"`

	// Requests is the number of requests of the callers, Attempts that of attempts of the
	// routers, and Served that of requests with a whole answer, all after the warm-up.
	Requests           int
	Attempts           int
	Served             int
	AttemptsPerRequest float64
	// Finals is the number of requests that were given up, by kind of failure.
	Finals map[string]int
	// RefusedWithRoom is the share of requests that had no idempotency key and were finally
	// refused for lack of room although a member of their pool had room.
	RefusedWithRoom float64
	// Admissions is the number of admissions, also during the warm-up, OverBoundStrict the
	// share of them over the bound by the mean load at the time of the admission.
	// Violations uses the highest mean within the window instead.
	Admissions      int
	OverBoundStrict float64
	// ReuseTurns is the share of returning turns whose whole context was cached,
	// ReuseTokens the share of cached tokens in the contexts of all returning turns.
	ReuseTurns  float64
	ReuseTokens float64
	// PeakOverMean and P99OverMean are the medians over time of the highest and the 99th
	// percentile load in a pool, as multiples of the mean. PeakOverMeanWorst is the 99th
	// percentile over time of the highest load.
	PeakOverMean      float64
	P99OverMean       float64
	PeakOverMeanWorst float64
	// The control traffic of a node, sent and received together, in bytes and messages per
	// second.
	ControlBytesMedian float64
	ControlBytesP99    float64
	ControlBytesPeak   float64
	ControlMessagesP99 float64
	// NewsBytesPerRequest is the mean size of the control information in the header of an
	// attempt, in bytes of base64.
	NewsBytesPerRequest float64
	// PlatformCallsMean and PlatformCallsPeak are the mean and highest number of the nodes'
	// reads from the platform in a second.
	PlatformCallsMean float64
	PlatformCallsPeak int
	// FirstTokenMedian and FirstTokenP95 are the times until the first token of the served
	// chat turns.
	FirstTokenMedian time.Duration
	FirstTokenP95    time.Duration
	// UnknownOutcomeShare is the share of requests that were given up when it was unknown
	// whether they ran.
	UnknownOutcomeShare float64
	// SmallestTenantServed is the lowest share of served requests among the tenants with
	// more than a few requests.
	SmallestTenantServed float64
}

func (s *Simulation) result() Result {
	m := s.measure
	r := Result{
		Size: s.options.Size.Name, Policy: s.options.Policy.Name, Seed: s.options.Seed,
		Digest: s.loop.digest.Sum64(), LogLines: s.loop.lineCount,
		Violations: s.checks.violations, Counts: s.checks.counts, LastEvents: slices.Clone(s.loop.recentLines),
		Requests: m.requests, Attempts: m.attempts, Served: m.served, Finals: map[string]int{},
		AttemptsPerRequest: ratio(m.attempts, m.requests),
		RefusedWithRoom:    ratio(m.givenUpWithRoom, m.requests),
		Admissions:         s.checks.admissions,
		OverBoundStrict:    ratio(s.checks.overBoundStrict, s.checks.admissions),
		ReuseTurns:         ratio(m.reusedTurns, m.returningTurns),
		ReuseTokens:        ratio(m.cachedTokens, m.contextTokens),
		FirstTokenMedian:   time.Duration(m.firstToken.ValueAtQuantile(50)) * time.Microsecond,
		FirstTokenP95:      time.Duration(m.firstToken.ValueAtQuantile(95)) * time.Microsecond,
	}
	unknown := 0
	for kind, count := range m.givenUp {
		r.Finals[kind.String()] = count
		if kind.Answer().Ran == failure.RanUnknown {
			unknown += count
		}
	}
	r.UnknownOutcomeShare = ratio(unknown, m.requests)
	r.NewsBytesPerRequest = ratio(m.newsBytes, m.attempts)
	r.addSkew(m.skew)
	r.addControl(s)
	r.addPlatform(m)
	r.SmallestTenantServed = s.smallestTenantServed()
	return r
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// quantile returns the quantile of a sorted list, with share from 0 to 1.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}

func (r *Result) addSkew(samples []skewSample) {
	var peaks, p99s []float64
	for _, sample := range samples {
		peaks = append(peaks, sample.peak)
		p99s = append(p99s, sample.p99)
	}
	slices.Sort(peaks)
	slices.Sort(p99s)
	r.PeakOverMean = quantile(peaks, 0.5)
	r.PeakOverMeanWorst = quantile(peaks, 0.99)
	r.P99OverMean = quantile(p99s, 0.5)
}

func (r *Result) addControl(s *Simulation) {
	seconds := s.loop.now.Sub(s.measure.from).Seconds()
	if seconds <= 0 {
		return
	}
	var bytes, messages []float64
	for _, id := range s.ids {
		total := traffic{}
		for _, table := range []map[string]*traffic{s.measure.sent, s.measure.received} {
			if t := table[id]; t != nil {
				total.bytes += t.bytes
				total.messages += t.messages
			}
		}
		bytes = append(bytes, float64(total.bytes)/seconds)
		messages = append(messages, float64(total.messages)/seconds)
	}
	slices.Sort(bytes)
	slices.Sort(messages)
	r.ControlBytesMedian = quantile(bytes, 0.5)
	r.ControlBytesP99 = quantile(bytes, 0.99)
	r.ControlBytesPeak = quantile(bytes, 1)
	r.ControlMessagesP99 = quantile(messages, 0.99)
}

func (r *Result) addPlatform(m *measure) {
	total := 0
	for _, calls := range m.platformCalls {
		total += calls
		r.PlatformCallsPeak = max(r.PlatformCallsPeak, calls)
	}
	r.PlatformCallsMean = ratio(total, int(m.s.loop.now.Sub(m.from).Seconds()))
}

// smallestTenantServed returns the lowest share of served requests among the tenants with
// more than a few requests.
func (s *Simulation) smallestTenantServed() float64 {
	const few = 20
	lowest := 1.0
	for tenant, requests := range s.measure.tenantRequests {
		if requests > few {
			lowest = min(lowest, ratio(s.measure.tenantServed[tenant], requests))
		}
	}
	return lowest
}

// Broken reports whether any promise was broken.
func (r Result) Broken() bool { return len(r.Violations) > 0 }
