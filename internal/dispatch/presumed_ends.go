package dispatch

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// A back end that has crashed may still be listed, and something else may accept connections for it and break them off. A
// request that is sent there then can't have caused the crash, so it is no suspect of it. See
// docs/design/withheld-requests.md.

const (
	// presumedEndTime is how long after the last lost connection an incarnation is presumed to have ended, unless it
	// answers. If it lives on and crashes in that time, the requests that were sent since aren't suspects.
	presumedEndTime = 5 * time.Second
	// maxPresumedEnds bounds the incarnations remembered.
	maxPresumedEnds = 4096
)

// presumedEnd is when an incarnation was first and last known to break connections off since its last answer.
type presumedEnd struct{ first, last time.Time }

// presumedEnds holds the incarnations that have presumably ended.
type presumedEnds struct {
	byIncarnation *lru.Cache[incarnationKey, presumedEnd]
}

func newPresumedEnds() presumedEnds {
	cache, err := lru.New[incarnationKey, presumedEnd](maxPresumedEnds)
	if err != nil {
		panic(err) // the size is constant and positive
	}
	return presumedEnds{byIncarnation: cache}
}

// note records a connection that the incarnation broke off, as this gateway or a peer saw it.
func (p presumedEnds) note(now time.Time, of incarnationKey) {
	end, known := p.byIncarnation.Peek(of)
	if !known || now.Sub(end.last) >= presumedEndTime {
		end.first = now
	}
	end.last = now
	p.byIncarnation.Add(of, end)
}

// answered records that the incarnation answered a request that was sent at the time.
func (p presumedEnds) answered(of incarnationKey, sentAt time.Time) {
	if end, known := p.byIncarnation.Peek(of); known && sentAt.After(end.first) {
		p.byIncarnation.Remove(of)
	}
}

// precedes reports whether the incarnation had presumably ended before a request was sent there.
func (p presumedEnds) precedes(now time.Time, of incarnationKey, sentAt time.Time) bool {
	end, known := p.byIncarnation.Peek(of)
	return known && sentAt.After(end.first) && now.Sub(end.last) < presumedEndTime
}

// isEmpty reports whether no incarnation is remembered.
func (p presumedEnds) isEmpty() bool { return p.byIncarnation.Len() == 0 }
