package catalog

import "github.com/cespare/xxhash/v2"

// Digest sums up the back ends that a view knows to be in service, so that two
// gateways find out what one of them lacks without telling each other everything. It
// has digestBuckets sums, each over the back ends whose IDs hash to it; nil stands for
// a gateway that knows none.
type Digest []uint32

// digestBuckets trades the size of a digest, 5 bytes a bucket, against what is sent for
// one difference: a bucket's share of all back ends. At 3,000 back ends that is 47 of
// about 75 bytes.
const digestBuckets = 64

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// leavingFactor is odd, so that it maps the hashes of IDs one to one.
const leavingFactor = 0x9e3779b97f4a7c15

// sumOf is an entry's part in its bucket's sum: what may change while it is listed, but for
// its warm-up, which ends by itself. The sum of a back end that leaves isn't a linear map
// of its other one: with the complement, say, two views of which each knows another back
// end of a bucket to leave would have equal sums, and never tell each other.
func sumOf(entry Entry) uint32 {
	sum := xxhash.Sum64String(entry.BackEnd.ID)
	if entry.BackEnd.Leaving {
		sum *= leavingFactor
	}
	return uint32(sum >> 32) // the bucket takes the low bits
}

// Digest returns the sums of the moment.
func (v *View) Digest() Digest {
	digest := make(Digest, digestBuckets)
	for id, entry := range v.entries.records {
		if !entry.Gone {
			digest[bucketOf(id)] ^= sumOf(entry)
		}
	}
	return digest
}

// Differing returns the entries of all buckets in which the other view's digest
// differs, removals included, and the number of changes to go on from. A digest of
// another length differs everywhere.
func (v *View) Differing(other Digest) ([]Entry, uint64) {
	own := v.Digest()
	var entries []Entry
	for _, id := range v.entries.keys() {
		bucket := bucketOf(id)
		if len(other) != len(own) || other[bucket] != own[bucket] {
			entries = append(entries, v.entries.records[id])
		}
	}
	return entries, v.entries.changes
}
