package coordination

import (
	"crypto/ed25519"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// benchSize is the size of a fleet and the number of links of the measured node.
type benchSize struct {
	routers, pools, engines, links int
}

func (z benchSize) document() string {
	var text strings.Builder
	text.WriteString("format = 1\n[[tenants]]\nname = \"t\"\nkey_sha256 = [\"" + bundle.HashKey("k") + "\"]\n")
	for pool := range z.pools {
		fmt.Fprintf(&text, "[[pools]]\nname = \"p%d\"\nkind = \"engine\"\nmodels = [\"m%d\"]\n", pool, pool)
		for engine := range z.engines {
			fmt.Fprintf(&text, "[[pools.back_ends]]\nid = \"e%d-%03d\"\nagent = \"10.%d.0.%d:7300\"\nzone = \"z%d\"\n", pool, engine, pool, engine+1, engine%6)
		}
	}
	return text.String()
}

// records returns one record of each node, with the given beat.
func (z benchSize) records(beat uint32) []membership.Record {
	var records []membership.Record
	for router := range z.routers {
		records = append(records, membership.Record{
			ID: fmt.Sprintf("router-%03d", router), Role: membership.RoleRouter, Incarnation: 1, Beat: beat,
			Address: fmt.Sprintf("10.9.%d.%d:7200", router/200, router%200), Zone: fmt.Sprintf("z%d", router%6),
		})
	}
	for pool := range z.pools {
		for engine := range z.engines {
			records = append(records, membership.Record{ID: fmt.Sprintf("e%d-%03d", pool, engine), Incarnation: 1, Beat: beat, Load: beat % 50})
		}
	}
	return records
}

// BenchmarkControlSecond measures about one second of a router's control plane: seven ticks, each
// followed by a message with a sixteenth of all records, on one link after another. It reports the
// time for each second, the memory of the node's state, and the size of the bundle.
func BenchmarkControlSecond(b *testing.B) {
	for _, size := range []benchSize{{4, 1, 22, 6}, {85, 5, 33, 9}, {170, 5, 66, 9}, {340, 5, 132, 9}} {
		b.Run(fmt.Sprintf("nodes=%d", size.routers+size.pools*size.engines), func(b *testing.B) {
			benchControl(b, size)
		})
	}
}

func benchControl(b *testing.B, size benchSize) {
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	trusted := []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
	raw, err := bundle.Sign(bundle.Header{Number: 1, Identifier: "x"}, []byte(size.document()), key)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := time.Unix(1_800_000_000, 0)
	open := func(raw []byte) (*bundle.Bundle, error) { return bundle.Open(raw, trusted) }
	identity := Identity{ID: "router-000", Role: membership.RoleRouter, Address: "10.9.0.0:7200", Zone: "z0"}
	node := NewNode(DefaultConfig(), identity, open, bundle.NewAcceptor(trusted), now)
	node.Step(now, PlatformBundle{Raw: raw, Version: 1, RequestedAt: now})
	for id := range size.links {
		peer := fmt.Sprintf("router-%03d", id+1)
		if id >= 4 {
			peer = fmt.Sprintf("e0-%03d", id)
		}
		node.Step(now, LinkUp{Link: LinkID(id + 1), Peer: peer, Dialed: true})
	}
	second := func(beat uint32) {
		records := size.records(beat)
		share := (len(records) + 15) / 16
		for tick := range 7 {
			now = now.Add(150 * time.Millisecond)
			node.Step(now, Tick{})
			link := LinkID(tick%size.links + 1)
			from := (int(beat)*7 + tick) % 16 * share
			part := records[min(from, len(records)):min(from+share, len(records))]
			node.Step(now, Received{Link: link, Message: Message{From: "x", Number: 1, Stamp: 1, Echo: 1, Records: part}})
		}
	}
	for beat := range uint32(40) {
		second(beat + 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	beat := uint32(41)
	for b.Loop() {
		second(beat)
		beat++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	b.ReportMetric(float64(len(raw)), "bundle-bytes")
	runtime.KeepAlive(node)
}

// BenchmarkOpenBundle measures how long a node takes to open a new bundle.
func BenchmarkOpenBundle(b *testing.B) {
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	trusted := []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
	for _, tenants := range []int{10, 130, 520} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			size := benchSize{pools: 5, engines: max(4, tenants*132/520)}
			text := size.document()
			for i := range tenants {
				text += fmt.Sprintf("[[tenants]]\nname = \"tenant-%d\"\nkey_sha256 = [%q]\nrequests_per_second = 20.0\n", i, bundle.HashKey(fmt.Sprint(i)))
			}
			raw, err := bundle.Sign(bundle.Header{Number: 1, Identifier: "x"}, []byte(text), key)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := bundle.Open(raw, trusted); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bundle-bytes")
		})
	}
}
