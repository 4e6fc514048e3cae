package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest summarizes the back ends that a view knows to be in service. By comparing digests, two
// gateways find the differences between their views without exchanging all entries
// (anti-entropy). It has DigestBuckets checksums, each over the back ends whose IDs hash to the
// bucket. nil stands for a gateway that has no list.
type Digest []uint32

// DigestBuckets is the number of buckets. It balances the size of a digest, 5 bytes per bucket,
// against the cost of one difference, which is in proportion to a bucket's share of all back
// ends: at 3,000 back ends, a bucket has 47 entries of about 75 bytes.
const DigestBuckets = 64

// Buckets is a set of a digest's buckets, with one bit for each.
type Buckets uint64

// AllBuckets contains all buckets and thus stands for the whole list.
const AllBuckets = ^Buckets(0)

// Has reports whether the bucket is in the set.
func (b Buckets) Has(bucket int) bool { return b>>bucket&1 == 1 }

// Differing returns the buckets in which two digests differ. These are all buckets if one of the
// digests is missing or has another length.
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

// leavingFactor is odd, so that multiplying by it maps the hashes of IDs one to one.
const leavingFactor = 0x9e3779b97f4a7c15

// checksumOf returns an entry's contribution to the checksum of its bucket. It covers the ID and
// whether the back end is leaving, and no other field. The warm-up changes too while a back end is
// listed, but ends without an update.
//
// The checksum of a bucket is the XOR of the contributions of its entries. So the contribution of a
// leaving back end isn't a linear function, with respect to XOR, of the one that it had before. If
// it were the complement, for example, two views that each consider a different back end of a
// bucket to be leaving would have equal checksums for the bucket, and would never find the
// difference.
func checksumOf(entry Entry) uint32 {
	sum := xxhash.Sum64String(entry.BackEnd.ID)
	if entry.BackEnd.Leaving {
		sum *= leavingFactor
	}
	return uint32(sum >> 32) // the low bits select the bucket
}

// Digest returns the current digest. The caller must not modify it.
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

// Checksums are the checksums of the back ends that a view knows to be in service, checksumBytes
// bytes each. A peer uses them to leave out the entries that the view already has.
type Checksums []byte

const checksumBytes = 4

// ChecksumsOf returns the checksums of the back ends in the buckets.
func (v *View) ChecksumsOf(buckets Buckets) Checksums {
	var checksums Checksums
	for id, entry := range v.entries.records {
		if !entry.Gone && buckets.Has(bucketOf(id)) {
			checksums = binary.BigEndian.AppendUint32(checksums, checksumOf(entry))
		}
	}
	return checksums
}

// set returns the checksums as a set.
func (s Checksums) set() map[uint32]bool {
	set := make(map[uint32]bool, len(s)/checksumBytes)
	for rest := s; len(rest) >= checksumBytes; rest = rest[checksumBytes:] {
		set[binary.BigEndian.Uint32(rest)] = true
	}
	return set
}

// MissingEntries returns the entries in the buckets that are missing at a peer that knows the
// back ends with the given checksums: back ends in service that aren't among them, and removals
// of back ends that are.
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
