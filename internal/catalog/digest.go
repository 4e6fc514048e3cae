package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest sums up the back ends that a view knows to be in service, so that two
// gateways find out what one of them lacks without telling each other everything. It
// has DigestBuckets sums, each over the back ends whose IDs hash to it; nil stands for
// a gateway that has no list.
type Digest []uint32

// DigestBuckets trades the size of a digest, 5 bytes a bucket, against what is sent for
// one difference: a bucket's share of all back ends. At 3,000 back ends that is 47 of
// about 75 bytes.
const DigestBuckets = 64

// Buckets is a set of a digest's buckets, a bit for each.
type Buckets uint64

// AllBuckets is all of them: the whole list.
const AllBuckets = ^Buckets(0)

// Has tells whether the bucket is in the set.
func (b Buckets) Has(bucket int) bool { return b>>bucket&1 == 1 }

// Differing returns the buckets in which two digests differ: all of them where one is
// missing or of another length.
func (d Digest) Differing(other Digest) Buckets {
	if len(d) != DigestBuckets || len(other) != DigestBuckets {
		return AllBuckets
	}
	var differing Buckets
	for bucket, sum := range d {
		if other[bucket] != sum {
			differing |= 1 << bucket
		}
	}
	return differing
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % DigestBuckets) }

// leavingFactor is odd, so that it maps the hashes of IDs one to one.
const leavingFactor = 0x9e3779b97f4a7c15

// sumOf is an entry's part in its bucket's sum: what may change while it is listed, but for
// its warm-up, which ends by itself. The sum of a back end that leaves isn't a linear map
// of its other one: with the complement, say, two views of which each knows another back
// end of a bucket to leave would have equal sums, and never tell each other.
func checksumOf(entry Entry) uint32 {
	sum := xxhash.Sum64String(entry.BackEnd.ID)
	if entry.BackEnd.Leaving {
		sum *= leavingFactor
	}
	return uint32(sum >> 32) // the bucket takes the low bits
}

// Digest returns the sums of the moment. The caller must not change them.
func (v *View) Digest() Digest {
	if now := v.entries.version(); v.digest == nil || v.digestVersion != now {
		v.digest, v.digestVersion = v.computeDigest(), now
	}
	return v.digest
}

func (v *View) computeDigest() Digest {
	digest := make(Digest, DigestBuckets)
	for id, entry := range v.entries.records {
		if !entry.Gone {
			digest[bucketOf(id)] ^= checksumOf(entry)
		}
	}
	return digest
}

// Sums are those of the back ends that a view knows to be in service, sumBytes each. They
// tell a peer which entries not to send.
type Checksums []byte

const checksumBytes = 4

// SumsOf returns the sums of the back ends of the buckets.
func (v *View) ChecksumsOf(buckets Buckets) Checksums {
	var checksums Checksums
	for id, entry := range v.entries.records {
		if !entry.Gone && buckets.Has(bucketOf(id)) {
			checksums = binary.BigEndian.AppendUint32(checksums, checksumOf(entry))
		}
	}
	return checksums
}

// set returns the set of the sums.
func (s Checksums) set() map[uint32]bool {
	set := make(map[uint32]bool, len(s)/checksumBytes)
	for rest := s; len(rest) >= checksumBytes; rest = rest[checksumBytes:] {
		set[binary.BigEndian.Uint32(rest)] = true
	}
	return set
}

// Lacked returns the entries of the buckets that a peer lacks which knows the back ends of
// the sums: those in service that aren't among them, and the removals of those that are.
func (v *View) MissingEntries(buckets Buckets, known Checksums) []Entry {
	knownSet := known.set()
	var missing []Entry
	for id, entry := range v.entries.records {
		if buckets.Has(bucketOf(id)) && entry.isMissingFrom(knownSet) {
			missing = append(missing, entry)
		}
	}
	return missing
}

func (e Entry) isMissingFrom(known map[uint32]bool) bool {
	if !e.Gone {
		return !known[checksumOf(e)]
	}
	leaving, staying := e, e
	leaving.BackEnd.Leaving, staying.BackEnd.Leaving = true, false
	return known[checksumOf(leaving)] || known[checksumOf(staying)]
}
