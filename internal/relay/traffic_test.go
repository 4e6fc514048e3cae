package relay

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// The traffic that a gateway sends to its neighbours while nothing changes stays within its limit
// at the target size, which decides the design: 340 gateways and 4,300 requests per second of about
// 1.2 s.
func TestTrafficAtTargetFleetSize(t *testing.T) {
	is := is.New(t)
	const gateways = 340
	table := newFleet(gateways, all)[0]
	is.True(IsLarge(gateways)) // loads are collected
	message := Message{From: "edge-perth-a-340", Address: "10.1.0.40:8229", Version: 2400, StoreAgeMillis: 800, Zone: "perth-a", Capacity: 14}
	holdings := dispatch.Holdings{BackEnd: "i-7f3a91c000"}
	perMessage := max(minHoldingsPerMessage, int(holdingsPerLink(gateways)*periodFor(gateways).Seconds()))
	for i := range perMessage {
		holdings.Parts = append(holdings.Parts, 1<<63+uint64(i))
		holdings.Tokens = append(holdings.Tokens, 11_800)
	}
	message.Holdings = []dispatch.Holdings{holdings}
	plain, err := cbor.Marshal(message)
	is.NoErr(err)
	message.Peers = table.PeersForMessage(start)
	withPeers, err := cbor.Marshal(message)
	is.NoErr(err)
	links := 2 * len(table.neighbours()) // as many gateways have this one as a neighbour
	messages := float64(time.Second / periodFor(gateways))
	sent := float64(links) * (float64(len(plain))*(messages-1) + float64(len(withPeers)))
	t.Logf("%d links, %d bytes per message and %d with peers, %.1f KB/s sent", links, len(plain), len(withPeers), sent/1000)
	is.True(sent < 16_000)
}

func TestEveryPeerIsSentInTurn(t *testing.T) {
	is := is.New(t)
	table := newFleet(100, all)[0]
	sent := map[string]bool{}
	for range 100/(maxPeersPerMessage-largeFleetReaders) + 1 {
		list := table.PeersForMessage(start)
		is.True(len(list) <= maxPeersPerMessage)
		for _, peer := range list {
			sent[peer.ID] = true
		}
	}
	is.Equal(len(sent), 99)
}
