package catalog

import (
	"cmp"
	"slices"
)

// BackEnd is one incarnation of a back end. A restart makes a new one.
type BackEnd struct {
	// ID is unique among all incarnations.
	ID string `cbor:"1,keyasint"`
	// Service is the pool that it belongs to.
	Service string `cbor:"2,keyasint"`
	// Address is its IP address and port. Later it may be another back end's.
	Address string `cbor:"3,keyasint"`
	// Zone is where it runs.
	Zone string `cbor:"4,keyasint"`
	// Slots is how many requests it works on at once; 0 when unknown.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Leaving back ends take no new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
}

// Entry is what is known of a back end at a revision of the platform's store.
type Entry struct {
	// BackEnd is the back end. Of one that is gone only the ID counts.
	BackEnd BackEnd `cbor:"1,keyasint"`
	// Gone is true when it is no longer listed.
	Gone bool `cbor:"2,keyasint,omitempty"`
	// Revision orders entries of the same back end.
	Revision uint64 `cbor:"3,keyasint"`
}

// maxTombstones bounds the memory for back ends that are gone.
const maxTombstones = 4096

// View is a gateway's knowledge. Whatever the order in which news arrives, it
// ends with the newest: a configuration is replaced only by a higher version, an
// entry only by a higher revision. So neither a stale read nor a peer that lags
// can take it back. It is not safe for concurrent use.
type View struct {
	index   *Index
	entries map[string]Entry
	// revision is the highest revision of the store that was heard of.
	revision uint64
	// changes numbers the changes of entries, for readers that follow them.
	changes  uint64
	changeOf map[string]uint64
	order    []string // gone IDs in the order of their removal
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]Entry{}, changeOf: map[string]uint64{}}
}

// Index returns the configuration in force, or nil before the first.
func (v *View) Index() *Index { return v.index }

// Version returns the version in force, or 0.
func (v *View) Version() uint64 {
	if v.index == nil {
		return 0
	}
	return v.index.Version()
}

// OfferConfiguration adopts a checked document if its version is newer, and
// tells whether it did.
func (v *View) OfferConfiguration(configuration *Configuration) bool {
	if configuration.Version <= v.Version() {
		return false
	}
	v.index = NewIndex(configuration)
	return true
}

// OfferEntries takes changes from a watch or a peer and returns those that were
// news.
func (v *View) OfferEntries(entries []Entry) []Entry {
	var news []Entry
	for _, entry := range entries {
		if v.offer(entry) {
			news = append(news, entry)
		}
	}
	v.forget()
	return news
}

// OfferList takes a complete list that was read at the revision. A back end that
// it lacks is gone, unless it was heard of at a later revision.
func (v *View) OfferList(entries []Entry, revision uint64) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.BackEnd.ID] = true
	}
	news := v.OfferEntries(entries)
	for _, id := range v.ids() {
		known := v.entries[id]
		if listed[id] || known.Gone || known.Revision > revision {
			continue
		}
		gone := Entry{BackEnd: known.BackEnd, Gone: true, Revision: revision}
		if v.offer(gone) {
			news = append(news, gone)
		}
	}
	v.forget()
	return news
}

// offer applies one entry. At equal revisions a removal wins: the store names
// the removal of an object by its last revision.
func (v *View) offer(entry Entry) bool {
	id := entry.BackEnd.ID
	v.revision = max(v.revision, entry.Revision)
	known, exists := v.entries[id]
	if exists && !supersedes(entry, known) {
		return false
	}
	if entry.Gone && exists {
		entry.BackEnd = known.BackEnd
	}
	// The revision is kept even where nothing else changed: an entry between the
	// two revisions may still arrive, and must not count as newer.
	v.entries[id] = entry
	v.changes++
	v.changeOf[id] = v.changes
	if entry.Gone && !known.Gone {
		v.order = append(v.order, id)
	}
	return !exists || entry.BackEnd != known.BackEnd || entry.Gone != known.Gone
}

func supersedes(entry, known Entry) bool {
	if entry.Revision != known.Revision {
		return entry.Revision > known.Revision
	}
	return entry.Gone && !known.Gone
}

// forget drops the oldest tombstones.
func (v *View) forget() {
	for len(v.order) > maxTombstones {
		id := v.order[0]
		v.order = v.order[1:]
		if v.entries[id].Gone {
			delete(v.entries, id)
			delete(v.changeOf, id)
		}
	}
}

func (v *View) ids() []string {
	ids := make([]string, 0, len(v.entries))
	for id := range v.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// BackEnds returns those in service, leaving ones included, by ID.
func (v *View) BackEnds() []BackEnd {
	var list []BackEnd
	for _, id := range v.ids() {
		if entry := v.entries[id]; !entry.Gone {
			list = append(list, entry.BackEnd)
		}
	}
	return list
}

// Since returns the entries that changed after the given number of changes, in
// the order of their change, and the number to go on from.
func (v *View) Since(change uint64) ([]Entry, uint64) {
	var ids []string
	for id, at := range v.changeOf {
		if at > change {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(v.changeOf[a], v.changeOf[b]) })
	entries := make([]Entry, len(ids))
	for i, id := range ids {
		entries[i] = v.entries[id]
	}
	return entries, v.changes
}
