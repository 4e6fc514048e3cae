package dispatch

import lru "github.com/hashicorp/golang-lru/v2"

// crashRecordSet holds the records of contents or of parts. Suspected and withheld ones are kept apart so that the failure
// of a whole zone can't evict the few withheld ones.
type crashRecordSet struct {
	suspected, withheld *lru.Cache[Fingerprint, *crashRecord]
	// threshold is the number of crashes after which requests are withheld.
	threshold int
}

func newCrashRecordSet(maxSuspected, maxWithheld, threshold int) crashRecordSet {
	return crashRecordSet{suspected: newCache[*crashRecord](maxSuspected), withheld: newCache[*crashRecord](maxWithheld), threshold: threshold}
}

func newCache[V any](size int) *lru.Cache[Fingerprint, V] {
	cache, err := lru.New[Fingerprint, V](size)
	if err != nil {
		panic(err) // all sizes are constant and positive
	}
	return cache
}

// get returns the record with the fingerprint, or nil.
func (r *crashRecordSet) get(fingerprint Fingerprint) *crashRecord {
	if record, known := r.withheld.Get(fingerprint); known {
		return record
	}
	record, _ := r.suspected.Get(fingerprint)
	return record
}

func (r *crashRecordSet) list() []*crashRecord {
	return append(r.suspected.Values(), r.withheld.Values()...)
}

func (r *crashRecordSet) isEmpty() bool { return r.suspected.Len() == 0 && r.withheld.Len() == 0 }
