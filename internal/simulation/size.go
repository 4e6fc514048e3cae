package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
)

// Size describes a fleet and its traffic.
type Size struct {
	// Name is the size's name on the command line.
	Name string
	// Regions is the number of regions, Zones the number of zones in each.
	Regions int
	Zones   int
	// Routers is the number of routers.
	Routers int
	// Models is the number of engine pools, Engines the number of engines in each.
	Models  int
	Engines int
	// Services is the number of plain service back ends.
	Services int
	// Tenants is the number of tenants, which share the traffic by Zipf's law.
	Tenants int
	// ChatRate is the number of chat turns per second in the whole fleet.
	ChatRate float64
	// ServiceRate is the number of service calls per second.
	ServiceRate float64
	// Pause is the mean pause between two turns of a chat.
	Pause time.Duration
	// CacheShare is the capacity of an engine's cache, as a multiple of the contexts of
	// the engine's share of the chats.
	CacheShare float64

	// The pools' settings in the bundle.
	loadMultiple float64
	rounding     bundle.Rounding
	affinityWait time.Duration
	maxRunning   int
}

// Sizes returns the fleets that can be simulated.
func Sizes() []Size {
	swanCoast := Size{
		Name: "swan-coast", Regions: 1, Zones: 4, Routers: 4, Models: 1, Engines: 18, Services: 4, Tenants: 10,
		ChatRate: 24, ServiceRate: 8, Pause: 90 * time.Second, CacheShare: 1.5,
		loadMultiple: 1.25, rounding: bundle.RoundUp, affinityWait: time.Second, maxRunning: 32,
	}
	beridze := swanCoast
	beridze.Name, beridze.Zones, beridze.Routers, beridze.Services = "beridze", 3, 3, 3
	beridze.rounding, beridze.affinityWait = bundle.RoundDown, 0
	fleet := swanCoast
	fleet.Name, fleet.Regions, fleet.Zones, fleet.Routers = "fleet", 2, 3, 340
	fleet.Models, fleet.Engines, fleet.Services, fleet.Tenants = 5, 132, 0, 520
	fleet.ChatRate, fleet.ServiceRate = 4300, 0
	fleet.loadMultiple, fleet.maxRunning = 1.25, 96
	quarter := fleet
	quarter.Name, quarter.Routers, quarter.Engines, quarter.ChatRate, quarter.Tenants = "quarter", 85, 33, 1075, 130
	// One of the fleet's five pools with its share of routers and traffic.
	fifth := fleet
	fifth.Name, fifth.Models, fifth.Routers, fifth.ChatRate, fifth.Tenants = "fifth", 1, 68, 860, 104
	small := swanCoast
	small.Name, small.Zones, small.Routers, small.Engines, small.Services = "small", 3, 3, 6, 3
	small.ChatRate, small.ServiceRate, small.Tenants, small.Pause = 6, 4, 4, 30*time.Second
	return []Size{swanCoast, beridze, fleet, quarter, fifth, small}
}

// SizeByName returns the size with the name, and whether there is one.
func SizeByName(name string) (Size, bool) {
	for _, size := range Sizes() {
		if size.Name == name {
			return size, true
		}
	}
	return Size{}, false
}

// ownershipLease is short, so that leases expire within a simulation.
const ownershipLease = 30 * time.Second

// placement is the ID, address and location of a node.
type placement struct {
	id      string
	address string
	region  string
	zone    string
}

// placements returns the placements of all back ends by pool.
func (z Size) placements() map[string][]placement {
	pools := map[string][]placement{}
	for model := range z.Models {
		name := poolName(model)
		for i := range z.Engines {
			pools[name] = append(pools[name], z.place(fmt.Sprintf("e%d-%03d", model, i), model*z.Engines+i, 1))
		}
	}
	for i := range z.Services {
		pools[servicePool] = append(pools[servicePool], z.place(fmt.Sprintf("s-%03d", i), i, 2))
	}
	return pools
}

const servicePool = "service"

func poolName(model int) string { return fmt.Sprintf("model-%d", model) }

// place returns the placement of a node; nodes are spread evenly over the zones.
func (z Size) place(id string, index, network int) placement {
	zone := index % (z.Regions * z.Zones)
	return placement{
		id:      id,
		address: fmt.Sprintf("10.%d.%d.%d:7300", network, index/200, index%200+1),
		region:  fmt.Sprintf("r%d", zone/z.Zones),
		zone:    fmt.Sprintf("r%dz%d", zone/z.Zones, zone%z.Zones),
	}
}

// document returns the source of a bundle without the omitted back ends and with the
// leaving ones marked as leaving. The remark makes the documents of one run differ.
func (z Size) document(omitted, leaving map[string]bool, remark int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "# remark %d\nformat = 1\n[control]\nownership_lease = %q\nclock_error = \"1s\"\n", remark, ownershipLease)
	for i := range z.Tenants {
		fmt.Fprintf(&text, "[[tenants]]\nname = %q\nkey_sha256 = [%q]\n", tenantName(i), bundle.HashKey(tenantName(i)))
	}
	layout := z.placements()
	for model := range z.Models {
		fmt.Fprintf(&text, "[[pools]]\nname = %q\nkind = \"engine\"\nmodels = [%q]\n", poolName(model), poolName(model))
		fmt.Fprintf(&text, "load_multiple = %v\nrounding = %q\naffinity_wait = %q\nmax_running = %d\nmax_queued = 256\n", z.loadMultiple, z.rounding, z.affinityWait, z.maxRunning)
		writeBackEnds(&text, layout[poolName(model)], omitted, leaving)
	}
	if z.Services > 0 {
		fmt.Fprintf(&text, "[[pools]]\nname = %q\nkind = \"service\"\npath_prefix = \"/service/\"\nload_multiple = 2.0\nmax_queued = 256\n", servicePool)
		writeBackEnds(&text, layout[servicePool], omitted, leaving)
	}
	return []byte(text.String())
}

func writeBackEnds(text *strings.Builder, places []placement, omitted, leaving map[string]bool) {
	for _, p := range places {
		if !omitted[p.id] {
			fmt.Fprintf(text, "[[pools.back_ends]]\nid = %q\nagent = %q\nregion = %q\nzone = %q\nleaving = %v\n", p.id, p.address, p.region, p.zone, leaving[p.id])
		}
	}
}

func tenantName(index int) string { return fmt.Sprintf("tenant-%03d", index) }
