package simulation

import (
	"crypto/ed25519"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/objectstore"
)

// Simulation is one run of a simulated fleet.
type Simulation struct {
	options    Options
	loop       *loop
	network    *network
	platform   *simPlatform
	operators  *operators
	callers    *callers
	checks     *checks
	measure    *measure
	nodes      map[string]*node
	byAddress  map[string]*node
	ids        []string
	pools      map[string]*poolState
	poolNames  []string
	signingKey ed25519.PrivateKey
	trusted    []ed25519.PublicKey
	// openedBundles caches verified bundles by the hash of their bytes, so that a
	// thousand simulated nodes don't parse the same bytes a thousand times.
	openedBundles map[uint64]*bundle.Bundle
	lastPublished uint64
}

// New returns a simulation whose fleet isn't started yet.
func New(options Options) (*Simulation, error) {
	s := &Simulation{
		options: options,
		loop:    newLoop(options.Seed),
		nodes:   map[string]*node{}, byAddress: map[string]*node{}, pools: map[string]*poolState{},
		openedBundles: map[uint64]*bundle.Bundle{},
		signingKey:    ed25519.NewKeyFromSeed([]byte(strings.Repeat("s", ed25519.SeedSize))),
	}
	s.loop.sink = options.Log
	public, _ := s.signingKey.Public().(ed25519.PublicKey)
	s.trusted = []ed25519.PublicKey{public}
	s.network = &network{s: s, duplicate: options.Duplicate, reorder: options.Reorder}
	s.platform = &simPlatform{s: s, objects: map[string]objectstore.Object{}, leavingSince: map[string]time.Time{}}
	s.operators = newOperators(s)
	s.checks = newChecks(s)
	s.measure = newMeasure(s)
	s.callers = newCallers(s)
	content, err := bundle.Parse("bundle", options.Size.document(nil, nil, 0))
	if err != nil {
		return nil, err
	}
	s.addNodes(content)
	return s, nil
}

// openBundle verifies a bundle once for all nodes.
func (s *Simulation) openBundle(raw []byte) (*bundle.Bundle, error) {
	digest := xxhash.Sum64(raw)
	if known := s.openedBundles[digest]; known != nil {
		return known, nil
	}
	opened, err := bundle.Open(raw, s.trusted)
	if err == nil {
		s.openedBundles[digest] = opened
	}
	return opened, err
}

func (s *Simulation) addNodes(content *bundle.Content) {
	size := s.options.Size
	var seeds []string
	for i := range size.Routers {
		p := size.place(routerName(i), i, 3)
		if i < 3 {
			seeds = append(seeds, p.address)
		}
		s.add(p, membership.RoleRouter, seeds, nil)
	}
	perEngine := size.ChatRate * (size.Pause.Seconds() + 6) / float64(size.Models*size.Engines)
	const meanContext = 4000
	capacity := int(perEngine * size.CacheShare * meanContext)
	for i := range content.Pools {
		pool := &content.Pools[i]
		state := &poolState{s: s, pool: pool}
		s.pools[pool.Name] = state
		s.poolNames = append(s.poolNames, pool.Name)
		for _, p := range size.placements()[pool.Name] {
			n := s.add(p, membership.RoleAgent, seeds, newBackEnd(p.id, pool, capacity))
			state.members = append(state.members, n)
		}
	}
}

func routerName(index int) string {
	return "router-" + string(rune('a'+index/26%26)) + string(rune('a'+index%26))
}

func (s *Simulation) add(p placement, role membership.Role, seeds []string, backEnd *backEnd) *node {
	n := &node{
		s:       s,
		process: process{id: p.id, zone: p.zone, region: p.region},
		identity: coordination.Identity{
			ID: p.id, Role: role, Address: p.address, Region: p.region, Zone: p.zone, Seeds: seeds,
		},
		backEnd:   backEnd,
		adoptedAt: map[uint64]time.Time{},
	}
	n.process.clockError = s.loop.between(-s.options.ClockError/2, s.options.ClockError/2)
	s.nodes[p.id] = n
	s.byAddress[p.address] = n
	s.ids = append(s.ids, p.id)
	return n
}

// checkPeriod is the time between two checks of all nodes.
const checkPeriod = time.Second

// Run runs the simulation to its end and returns its result.
func (s *Simulation) Run() Result {
	s.operators.publish()
	for _, id := range s.ids {
		s.nodes[id].start()
	}
	s.loop.every(checkPeriod, checkPeriod, s.checks.checkNodes)
	// The fleet starts before the callers do.
	const startupTime = 10 * time.Second
	s.loop.runUntil(epoch.Add(startupTime), neverStop)
	s.callers.start()
	s.loop.runUntil(epoch.Add(startupTime+s.options.Warmup), neverStop)
	s.measure.start()
	s.schedule(s.options.Faults)
	s.loop.runUntil(epoch.Add(startupTime+s.options.Warmup+s.options.Duration), s.tooManyViolations)
	s.checks.finish()
	return s.result()
}

func neverStop() bool { return false }

// tooManyViolations reports whether the run has reached maxViolations and should end
// early.
func (s *Simulation) tooManyViolations() bool {
	return len(s.checks.violations) >= maxViolations
}
