package fairshare

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func drawDemands(t *rapid.T) []Demand {
	rates := rapid.Uint32()
	var list []Demand
	for service := range uint32(rapid.IntRange(0, 4).Draw(t, "services")) {
		list = append(list, Demand{
			Service: service + 1, Demand: Rate(rates.Draw(t, "demand")), Admitted: Rate(rates.Draw(t, "admitted")), Refused: Rate(rates.Draw(t, "refused")),
			Unserved: Rate(rates.Draw(t, "unserved")),
		})
		for tenant := range uint32(rapid.IntRange(0, 40).Draw(t, "tenants")) {
			list = append(list, Demand{Service: service + 1, Tenant: tenant + 1, Demand: Rate(rates.Draw(t, "demand of a tenant"))})
		}
	}
	return list
}

// What a gateway decodes is what another one encoded. Otherwise it would mark requests of tenants
// within their share.
func TestPackedDemandsAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawDemands(t)
		read, err := Pack(list).Unpack()
		if err != nil || !slices.Equal(read, list) {
			t.Fatalf("%v: %v, want %v", err, read, list)
		}
	})
}

// A list that is cut keeps the figures of all services and the largest tenants, in an order that
// doesn't depend on the one in which the list was collected.
func TestLargestTenantsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawDemands(t)
		kept := Largest(slices.Clone(list))
		shuffled := Largest(rapid.Permutation(list).Draw(t, "shuffled"))
		if !slices.Equal(kept, shuffled) {
			t.Fatalf("%v and %v", kept, shuffled)
		}
		services := 0
		for _, each := range list {
			if each.Tenant == allTenants {
				services++
			}
		}
		if len(kept) != min(len(list), services+MaxTenants) {
			t.Fatalf("%d of %d kept", len(kept), len(list))
		}
		for _, each := range kept[:services] {
			if each.Tenant != allTenants {
				t.Fatalf("a service is missing in %v", kept)
			}
		}
	})
}

// A service with little work gets entries beside one with much, so its largest tenant is known.
func TestLargestTenantOfASmallServiceIsKept(t *testing.T) {
	is := is.New(t)
	list := []Demand{{Service: 1, Demand: 100_000}, {Service: 2, Demand: 60}, {Service: 2, Tenant: 1, Demand: 50}}
	for tenant := range uint32(100) {
		list = append(list, Demand{Service: 1, Tenant: tenant + 1, Demand: 1000})
	}
	is.True(slices.Contains(Largest(list), Demand{Service: 2, Tenant: 1, Demand: 50}))
}

// A damaged message must neither exhaust the memory nor be taken for figures of a tenant.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(Pack([]Demand{{Service: 1, Demand: 300}, {Service: 1, Tenant: 2, Demand: 300}})))
	f.Add([]byte{0, 0, 1, 2, 3})
	f.Add([]byte{0, 0, 1, 2, 3, 4, 5, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := Packed(raw).Unpack()
		if err != nil {
			return
		}
		if len(list) > len(raw) {
			t.Fatalf("%d entries in %d bytes", len(list), len(raw))
		}
		for _, each := range list {
			if each.Service == 0 || each.Tenant != allTenants && each.Admitted+each.Refused+each.Unserved > 0 {
				t.Fatal(fmt.Sprint(each, " isn't valid"))
			}
		}
	})
}
