package fairshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/packed"
)

// Demand holds the rates of one tenant of a service, or of all its tenants together, at one gateway
// or summed up over several.
type Demand struct {
	// Service and Tenant identify the service and the tenant; see Key. Tenant is allTenants for the
	// figures of all tenants together.
	Service, Tenant uint32
	// Demand is the work asked for.
	Demand Rate
	// Admitted is the work admitted. Refused is the work refused recently, and Unserved the part of
	// it that wasn't in excess. They are set only for all tenants together.
	Admitted, Refused, Unserved Rate
}

// Rate is a rate of work, in units of rateUnit tokens per second.
type Rate uint32

// rateUnit is the resolution of rates. It is small compared with one request per second, and rates of
// up to 33 million tokens per second, the prompts of hundreds of engines, take at most three bytes.
const rateUnit = 16

func units(perSecond float64) Rate {
	return Rate(min(max(0, perSecond/rateUnit+0.5), maxRate))
}

func (r Rate) perSecond() float64 { return float64(r) * rateUnit }

// Key returns the key that identifies a service or a tenant. Two of n tenants have the same key with
// a probability of about n²/2²⁵, for example 1 in 134 with 500 tenants; they then have one share
// together.
func Key(name string) uint32 {
	return 1 + uint32(xxhash.Sum64String(name)%(1<<(8*packed.KeyBytes)-1))
}

// allTenants is the key of all tenants of a service together.
const allTenants = 0

// DemandKey is the key under which demands are summed up.
type DemandKey struct{ Service, Tenant uint32 }

// SumKey returns the key under which demands are summed up.
func (d Demand) SumKey() DemandKey { return DemandKey{d.Service, d.Tenant} }

// Plus returns the sum of two demands with the same key.
func (d Demand) Plus(other Demand) Demand {
	d.Demand += other.Demand
	d.Admitted += other.Admitted
	d.Refused += other.Refused
	d.Unserved += other.Unserved
	return d
}

// Minus subtracts what Plus added.
func (d Demand) Minus(other Demand) Demand {
	d.Demand -= other.Demand
	d.Admitted -= other.Admitted
	d.Refused -= other.Refused
	d.Unserved -= other.Unserved
	return d
}

// IsZero reports whether all figures are zero.
func (d Demand) IsZero() bool {
	return d.Demand == 0 && d.Admitted == 0 && d.Refused == 0 && d.Unserved == 0
}

// Sum returns the sums of the lists by key.
func Sum(lists ...[]Demand) []Demand {
	var sums []Demand
	index := map[DemandKey]int{}
	for _, each := range slices.Concat(lists...) {
		if i, known := index[each.SumKey()]; known {
			sums[i] = sums[i].Plus(each)
			continue
		}
		index[each.SumKey()] = len(sums)
		sums = append(sums, each)
	}
	return sums
}

// MaxTenants is the number of tenants, of all services together, whose demands are exchanged. A
// tenant that isn't among the largest ones is hardly beyond its share.
const MaxTenants = 64

// Largest returns the figures of the services, and those of the MaxTenants tenants that ask for
// the largest part of their service's demand, in a fixed order. It reorders the list.
func Largest(list []Demand) []Demand {
	all := map[uint32]Rate{}
	for _, each := range list {
		if each.Tenant == allTenants {
			all[each.Service] = each.Demand
		}
	}
	portion := func(each Demand) float64 {
		if each.Tenant == allTenants {
			return math.Inf(1)
		}
		return float64(each.Demand) / float64(max(1, all[each.Service]))
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(compareDescending(portion(a), portion(b)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list[:min(len(list), len(all)+MaxTenants)]
}

// Relevant returns what Largest does, without the tenants of services that refuse hardly anything:
// none of their requests is marked, so only the figures of these services are needed. That leaves
// the traffic and the age of the totals of a large fleet as they are until capacity is short.
func Relevant(totals []Demand) []Demand {
	isShort := map[uint32]bool{}
	for _, each := range totals {
		if each.Tenant == allTenants {
			isShort[each.Service] = each.refuses()
		}
	}
	return Largest(slices.DeleteFunc(totals, func(each Demand) bool { return each.Tenant != allTenants && !isShort[each.Service] }))
}

// refusedTolerance is the fraction of the demand that may be refused before capacity counts as
// short. It covers refusals for other reasons than a lack of capacity.
const refusedTolerance = 0.02

// refuses reports whether a noticeable part of the demand on a service was refused recently.
func (d Demand) refuses() bool { return float64(d.Refused) > refusedTolerance*float64(d.Demand) }

func compareDescending(a, b float64) int { return cmp.Compare(b, a) }

// Packed encodes demands compactly: for each service its key and rates, the number of its tenants,
// and for each tenant its key and its demand. Keys take three bytes; rates and numbers are varints. A
// tenant usually takes five bytes.
type Packed []byte

const (
	// maxRate limits each rate, and maxPackedBytes the length of an encoding. Both are far above
	// those of any fleet, and keep a damaged message from exhausting the memory.
	maxRate        = 1<<32 - 1
	maxPackedBytes = 16 << 10
)

var errMalformed = errors.New("malformed packed demands")

// Pack encodes demands. Tenants of a service without figures of its own are left out.
func Pack(list []Demand) Packed {
	var encoded Packed
	for _, service := range list {
		if service.Tenant != allTenants {
			continue
		}
		encoded = packed.AppendKey(encoded, service.Service)
		for _, each := range []Rate{service.Demand, service.Admitted, service.Refused, service.Unserved} {
			encoded = binary.AppendUvarint(encoded, uint64(each))
		}
		var tenants []byte
		count := 0
		for _, each := range list {
			if each.Service == service.Service && each.Tenant != allTenants {
				tenants = binary.AppendUvarint(packed.AppendKey(tenants, each.Tenant), uint64(each.Demand))
				count++
			}
		}
		encoded = append(binary.AppendUvarint(encoded, uint64(count)), tenants...)
	}
	return encoded
}

// Unpack decodes demands.
func (p Packed) Unpack() ([]Demand, error) {
	if len(p) > maxPackedBytes {
		return nil, errMalformed
	}
	var list []Demand
	reader := packed.NewReader(p)
	for reader.HasMore() {
		service := Demand{Service: readKey(reader), Tenant: allTenants}
		service.Demand, service.Admitted, service.Refused, service.Unserved = readRate(reader), readRate(reader), readRate(reader), readRate(reader)
		list = append(list, service)
		for count := readRate(reader); count > 0 && !reader.Malformed(); count-- {
			list = append(list, Demand{Service: service.Service, Tenant: readKey(reader), Demand: readRate(reader)})
		}
	}
	if reader.Malformed() {
		return nil, errMalformed
	}
	return list, nil
}

// readKey decodes the key of a service or a tenant; none of them has that of allTenants.
func readKey(reader *packed.Reader) uint32 {
	key := reader.Key()
	if key == allTenants {
		reader.Reject()
	}
	return key
}

func readRate(reader *packed.Reader) Rate { return Rate(reader.Uvarint(maxRate)) }
