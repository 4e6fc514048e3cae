package dispatch

import (
	"math"
	"slices"
	"time"
)

// crash is the presumed crash of one back end while it ran a request with a content.
type crash struct {
	incarnation incarnationKey
	evidence    evidence
	// isPublished is false while the crash may still turn out not to be one, and isLocal is
	// true if this gateway observed it itself.
	isPublished bool
	isLocal     bool
}

// crashRecord holds the crashes under one content or part.
type crashRecord struct {
	fingerprint Fingerprint
	isPart      bool
	crashes     []crash
	// lastAt is when the last crash was recorded.
	lastAt time.Time
	// change is the sequence number of the record's last change.
	change uint64
	// begunAt is when an answer last began under the part, as it was last sent to peers, and trials the number of
	// requests that were sent while it was withheld.
	begunAt time.Time
	trials  int
}

// index returns the position of the crash of the incarnation, or -1.
func (r *crashRecord) index(of incarnationKey) int {
	return slices.IndexFunc(r.crashes, func(each crash) bool { return each.incarnation == of })
}

// raise records a crash with higher evidence than known so far, and reports whether anything
// changed. If the record is full, a crash that counts against the content replaces one that
// doesn't.
func (r *crashRecord) raise(found crash) bool {
	if at := r.index(found.incarnation); at >= 0 {
		if r.crashes[at].evidence >= found.evidence {
			return false
		}
		found.isLocal = found.isLocal || r.crashes[at].isLocal
		r.crashes[at] = found
		return true
	}
	if len(r.crashes) < crashesPerRecord {
		r.crashes = append(r.crashes, found)
		return true
	}
	spare := slices.IndexFunc(r.crashes, func(each crash) bool { return !each.evidence.countsAsCrash() })
	if spare < 0 || !found.evidence.countsAsCrash() {
		return false
	}
	r.crashes[spare] = found
	return true
}

// clear raises all crashes to cleared, and reports whether anything changed.
func (r *crashRecord) clear() bool {
	raised := false
	for _, each := range r.crashes {
		raised = r.raise(crash{incarnation: each.incarnation, evidence: cleared, isPublished: true}) || raised
	}
	return raised
}

// mergeTrials takes over a later beginning of an answer and a higher number of trials, and reports whether anything
// changed. A time that is later than now is the fault of the sender's clock.
func (r *crashRecord) mergeTrials(now time.Time, received CrashRecord) bool {
	begunAt := time.UnixMilli(min(received.BegunAt, now.UnixMilli()))
	changed := received.BegunAt > 0 && begunAt.Sub(r.begunAt) >= time.Millisecond || int(received.Trials) > r.trials
	if received.BegunAt > 0 {
		r.begunAt = later(r.begunAt, begunAt)
	}
	r.trials = max(r.trials, int(received.Trials))
	return changed
}

// hasLocal reports whether this gateway observed any of the crashes itself.
func (r *crashRecord) hasLocal() bool {
	return slices.ContainsFunc(r.crashes, func(each crash) bool { return each.isLocal })
}

// crashCount returns the number of crashes that count against the content.
func (r *crashRecord) crashCount() int {
	count := 0
	for _, each := range r.crashes {
		if each.evidence.countsAsCrash() {
			count++
		}
	}
	return count
}

// published returns the record for peers: all crashes that may be published by now.
func (r *crashRecord) published() CrashRecord {
	return r.filtered(func(each crash) bool { return each.isPublished })
}

// export returns the record with all crashes.
func (r *crashRecord) export() CrashRecord { return r.filtered(func(crash) bool { return true }) }

func (r *crashRecord) filtered(includes func(crash) bool) CrashRecord {
	exported := CrashRecord{Fingerprint: r.fingerprint, LastAt: r.lastAt.Unix(), Part: r.isPart, Trials: uint8(min(r.trials, math.MaxUint8))}
	if !r.begunAt.IsZero() {
		exported.BegunAt = r.begunAt.UnixMilli()
	}
	for _, each := range r.crashes {
		if includes(each) {
			exported.Incarnations = append(exported.Incarnations, uint32(each.incarnation))
			exported.Evidence = append(exported.Evidence, uint8(each.evidence))
		}
	}
	return exported
}
