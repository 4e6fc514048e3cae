package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// What two software versions of a back end write doesn't fit together, so a stream may be resumed
// only at the version that began it. The gateway that passed its first event on knows that version. A
// caller may resume the stream at any other gateway, after the first one was killed. So while back
// ends of several versions may have begun streams, gateways record at a few others where each of
// theirs began (package origins). While there is only one version, no record is needed; see
// uniform.go.

// StreamOrigin is where a stream began.
type StreamOrigin struct {
	Service string `cbor:"1,keyasint"`
	// Version is the software version of the back end.
	Version string `cbor:"2,keyasint"`
}

// OriginKey identifies a caller's attempt among gateways.
type OriginKey uint64

// OriginKeyOf returns the key of a tenant's attempt with the ID, which callers choose.
func OriginKeyOf(tenant, attempt string) OriginKey {
	return OriginKey(xxhash.Sum64String(tenant + "\x00" + attempt))
}

// OriginRecord says where the stream of an attempt began.
type OriginRecord struct {
	Key    OriginKey    `cbor:"1,keyasint"`
	Origin StreamOrigin `cbor:"2,keyasint"`
	// LifeMillis is how much longer the record is needed.
	LifeMillis int64 `cbor:"3,keyasint"`
}

const (
	// originMargin is how much longer than its request's deadline the origin of a stream is kept.
	// Gateways learn of a version at different times, and a caller's resumption takes its time.
	originMargin = time.Second
	// maxOriginLife limits the life of a peer's record.
	maxOriginLife = 5 * time.Minute
	// maxOrigins limits the records that a gateway keeps, of about 150 bytes each.
	maxOrigins = 20_000
)

// originMemory holds the records of this gateway and those that others keep here.
type originMemory struct {
	records *simplelru.LRU[OriginKey, keptOrigin]
	// unpublished are this gateway's records that haven't been taken to be sent to others.
	unpublished []OriginRecord
}

type keptOrigin struct {
	origin    StreamOrigin
	expiresAt time.Time
}

func newOriginMemory() *originMemory {
	records, err := simplelru.NewLRU[OriginKey, keptOrigin](maxOrigins, nil)
	if err != nil {
		panic(err) // the size isn't positive
	}
	return &originMemory{records: records}
}

// put keeps a record, and drops the oldest ones that have expired.
func (m *originMemory) put(now time.Time, record OriginRecord) {
	for {
		_, oldest, any := m.records.GetOldest()
		if !any || now.Before(oldest.expiresAt) {
			break
		}
		m.records.RemoveOldest()
	}
	life := time.Duration(min(record.LifeMillis, maxOriginLife.Milliseconds())) * time.Millisecond
	m.records.Add(record.Key, keptOrigin{origin: record.Origin, expiresAt: now.Add(life)})
}

// get returns the origin with the key, unless its record has expired.
func (m *originMemory) get(now time.Time, key OriginKey) (StreamOrigin, bool) {
	kept, known := m.records.Peek(key)
	return kept.origin, known && now.Before(kept.expiresAt)
}

// noteOrigin records, with the first event that the caller is sent, where the stream began. A stream
// that the caller resumes began elsewhere; its record is renewed.
func (c *Core) noteOrigin(now time.Time, x *Exchange) {
	if x.origin == nil {
		x.origin = &StreamOrigin{Service: x.service, Version: x.current.backEnd.Version}
	}
	if !x.request.Route.Stream || !x.request.Route.Resumable {
		return
	}
	c.streams[x] = true
	if c.needsOrigin(now, x) {
		c.recordOrigin(now, x)
	}
}

// recordOrigin records where the stream began, under the ID of its attempt and under that of the
// attempt that the caller named.
func (c *Core) recordOrigin(now time.Time, x *Exchange) {
	x.originRecorded = true
	life := x.request.Deadline.Sub(now) + originMargin
	for _, attempt := range []string{x.request.ID, x.request.Resumes} {
		if attempt == "" {
			continue
		}
		record := OriginRecord{Key: OriginKeyOf(x.request.Tenant, attempt), Origin: *x.origin, LifeMillis: life.Milliseconds()}
		c.origins.put(now, record)
		c.origins.unpublished = append(c.origins.unpublished, record)
	}
}

// recordOpenStreams records the streams in flight that began while nothing had to be recorded, if that
// has changed.
func (c *Core) recordOpenStreams(now time.Time) {
	var due []*Exchange
	for x := range c.streams {
		if !x.originRecorded && c.needsOrigin(now, x) {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *Exchange) int { return cmp.Compare(a.request.ID, b.request.ID) })
	for _, x := range due {
		c.recordOrigin(now, x)
	}
}

// HasUnpublishedOrigins reports whether TakeOrigins returns any records.
func (c *Core) HasUnpublishedOrigins() bool { return len(c.origins.unpublished) > 0 }

// TakeOrigins returns this gateway's records since the last call, to be kept at other gateways.
func (c *Core) TakeOrigins() []OriginRecord {
	records := c.origins.unpublished
	c.origins.unpublished = nil
	return records
}

// KeepOrigins keeps records of other gateways.
func (c *Core) KeepOrigins(now time.Time, records []OriginRecord) {
	for _, record := range records {
		c.origins.put(now, record)
	}
}

// OriginQuestion asks where the stream began that a caller resumes.
type OriginQuestion struct {
	// Key is that of the attempt that the caller named, or 0 if it named none.
	Key OriginKey `cbor:"1,keyasint"`
	// Route is the name of the request's route, and Service the service to which it leads a new
	// request with the same prompt.
	Route   string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
}

// OriginAnswer is what a gateway knows about an OriginQuestion.
type OriginAnswer struct {
	// Recorded is the recorded origin of the stream, or nil.
	Recorded *StreamOrigin `cbor:"1,keyasint,omitempty"`
	// Uniform is true if every stream of the route that a caller may still resume began at the
	// service's version OnlyVersion. Mixed is true if that is known not to be so. Neither is true for a
	// gateway that can't tell, for instance because it has just started.
	Uniform     bool   `cbor:"2,keyasint,omitempty"`
	OnlyVersion string `cbor:"3,keyasint,omitempty"`
	Mixed       bool   `cbor:"4,keyasint,omitempty"`
}

const (
	// maxListAge is the age of what this gateway knows up to which the known back ends count as all that there are.
	// Gateways that are cut off, alone or together, may not know of a new version. Others send its back ends requests
	// after newVersionHold, by which time an older list no longer counts; listSpread is how much earlier, since a
	// change takes its time from the store to a gateway.
	maxListAge = newVersionHold - listSpread
	listSpread = 500 * time.Millisecond
	// maxOutage is how long the store may answer nobody until a list no longer counts. It is shorter than the time for
	// which a gateway that isn't heard of any more counts as live.
	maxOutage = 5 * time.Second
)

// ListAge returns the age of what a gateway knows: storeAge is the time since the store last answered a gateway that this
// one is in contact with, and contactAge the time since it last heard of the live gateway of which it has heard longest ago.
// While the store answers nobody and all gateways hear of each other, none knows of more than the others.
func ListAge(storeAge, contactAge time.Duration) time.Duration {
	if storeAge > maxOutage {
		return storeAge
	}
	return min(storeAge, contactAge)
}

// AnswerOrigin returns what this gateway knows, whose age is listAge; see ListAge.
func (c *Core) AnswerOrigin(now time.Time, question OriginQuestion, listAge time.Duration) OriginAnswer {
	var answer OriginAnswer
	if origin, known := c.origins.get(now, question.Key); known && question.Key != 0 {
		answer.Recorded = &origin
	}
	history := c.uniformity(question.Route, question.Service)
	answer.OnlyVersion = history.version
	answer.Uniform = history.lasted(now) && listAge <= maxListAge
	answer.Mixed = history.isMixed(now)
	return answer
}

// OriginSource says how it is known where a stream began.
type OriginSource string

// The closed list of sources.
const (
	// OriginUnknown: it isn't known, and the stream can't be resumed.
	OriginUnknown OriginSource = "unknown"
	// OriginOwnRecord and OriginPeerRecord: this gateway, or another one, has a record.
	OriginOwnRecord  OriginSource = "own_record"
	OriginPeerRecord OriginSource = "peer_record"
	// OriginUniform: all streams of the route began at the same version.
	OriginUniform OriginSource = "only_version"
)

// ResolveOrigin decides where a stream began by what this gateway and the others that answered know.
// asked is the number of other gateways that were asked.
//
// A record is decisive. Without one, the stream began while the route led to one version only, if it
// still does and nobody has seen another. A gateway that gets an answer from less than half of those that it
// asked may be cut off, with some others, from those that have; so it doesn't rely on what they know.
func ResolveOrigin(question OriginQuestion, own OriginAnswer, others []OriginAnswer, asked int) (StreamOrigin, OriginSource) {
	if own.Recorded != nil {
		return *own.Recorded, OriginOwnRecord
	}
	for _, each := range others {
		if each.Recorded != nil {
			return *each.Recorded, OriginPeerRecord
		}
	}
	if 2*len(others) < asked {
		return StreamOrigin{}, OriginUnknown
	}
	origin, source := StreamOrigin{}, OriginUnknown
	for _, each := range append([]OriginAnswer{own}, others...) {
		switch {
		case each.Mixed, each.Uniform && source == OriginUniform && each.OnlyVersion != origin.Version:
			return StreamOrigin{}, OriginUnknown
		case each.Uniform:
			origin, source = StreamOrigin{Service: question.Service, Version: each.OnlyVersion}, OriginUniform
		}
	}
	return origin, source
}

// fitsOrigin reports whether the member runs the version that began the exchange's stream, if it has
// begun.
func (c *Core) fitsOrigin(x *Exchange, m *member) bool {
	return x.origin == nil || m.backEnd.Version == x.origin.Version || c.config.Disabled[SameVersion]
}

// leadsTo reports whether the route may lead a request to the service.
func leadsTo(route *catalog.Route, service string) bool {
	return slices.ContainsFunc(route.Targets, func(each catalog.Target) bool { return each.Service == service })
}

// originIsGone reports whether the exchange's stream can't go on because no back end of the version that
// began it accepts requests.
func (c *Core) originIsGone(now time.Time, x *Exchange) bool {
	if x.origin == nil {
		return false
	}
	accepts := func(m *member) bool { return c.acceptsNew(now, x, m) }
	return !slices.ContainsFunc(c.poolMembers(now, x.service), accepts)
}
