package relay

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/catalog"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func digestOf(ids ...string) catalog.Digest {
	view := catalog.NewView()
	for _, id := range ids {
		view.OfferEntries([]catalog.Entry{{BackEnd: catalog.BackEnd{ID: id}, Revision: 1}})
	}
	return view.Digest()
}

// One peer at a time is asked for a bucket. Each request covers a part of the list, and the next
// one follows when the answer has arrived.
func TestBucketIsRequestedFromOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	var pending pendingRequests
	var first, second repair
	digest := digestOf("b1")
	first.receive(&pending, Message{Digest: digest})
	second.receive(&pending, Message{Digest: digest})
	requested := first.nextRequest(start, &pending, catalog.AllBuckets)
	is.Equal(bits.OnesCount64(uint64(requested)), maxRequestedBuckets)
	is.Equal(first.nextRequest(start, &pending, catalog.AllBuckets), catalog.Buckets(0)) // the answer hasn't arrived
	other := second.nextRequest(start, &pending, catalog.AllBuckets)
	is.Equal(bits.OnesCount64(uint64(other)), maxRequestedBuckets)
	is.Equal(requested&other, catalog.Buckets(0))
	first.receive(&pending, Message{Answered: requested})
	next := first.nextRequest(start, &pending, catalog.AllBuckets)
	is.Equal(bits.OnesCount64(uint64(next)), maxRequestedBuckets)
	is.Equal(next&(requested|other), catalog.Buckets(0))
}

func TestUnansweredBucketIsRequestedFromAnotherPeer(t *testing.T) {
	is := is.New(t)
	var pending pendingRequests
	var first, second repair
	first.receive(&pending, Message{Digest: digestOf("b1")})
	second.receive(&pending, Message{Digest: digestOf("b1")})
	const missing = catalog.Buckets(1)
	is.Equal(first.nextRequest(start, &pending, missing), missing)
	is.Equal(second.nextRequest(start, &pending, missing), catalog.Buckets(0))
	is.Equal(second.nextRequest(start.Add(answerTimeout), &pending, missing), missing)
	is.Equal(first.nextRequest(start.Add(3*answerTimeout), &pending, missing), catalog.Buckets(0)) // requested once for each digest
}

func TestNothingIsRequestedWithoutADifference(t *testing.T) {
	is := is.New(t)
	var pending pendingRequests
	var peer repair
	is.Equal(peer.nextRequest(start, &pending, catalog.AllBuckets), catalog.Buckets(0)) // no digest received
	peer.receive(&pending, Message{Digest: digestOf("b1")})
	is.Equal(peer.nextRequest(start, &pending, 0), catalog.Buckets(0))
	is.Equal(peer.nextRequest(start, &pending, catalog.AllBuckets), catalog.Buckets(0)) // no difference is left for that digest
}

// Gateways that are connected in a chain and know any parts of a list all end with the whole list.
func TestRepairConvergesAlongAChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways, backEnds = 5, 200
		views := make([]*catalog.View, gateways)
		for i := range views {
			views[i] = catalog.NewView()
			views[i].OfferEntries(entriesFrom(rapid.IntRange(0, backEnds-1).Draw(t, "from"), rapid.IntRange(0, backEnds).Draw(t, "to")))
		}
		for range gateways { // as many rounds as the chain has gateways
			for i := range gateways - 1 {
				repairFrom(views[i], views[i+1])
				repairFrom(views[i+1], views[i])
			}
		}
		for _, view := range views[1:] {
			if view.Digest().Differing(views[0].Digest()) != 0 {
				t.Fatalf("%d and %d back ends", len(view.BackEnds()), len(views[0].BackEnds()))
			}
		}
	})
}

func entriesFrom(from, to int) []catalog.Entry {
	var entries []catalog.Entry
	for i := from; i < to; i++ {
		entries = append(entries, catalog.Entry{BackEnd: catalog.BackEnd{ID: fmt.Sprint("b", i)}, Revision: 1})
	}
	return entries
}

// repairFrom lets a gateway request back ends from the responder until there is nothing left to
// request.
func repairFrom(requester, responder *catalog.View) {
	var pending pendingRequests
	var peer repair
	now := start
	message := Message{Digest: responder.Digest()}
	for {
		peer.receive(&pending, message)
		now = now.Add(time.Millisecond)
		requested := peer.nextRequest(now, &pending, requester.Digest().Differing(peer.digest))
		if requested == 0 {
			return
		}
		message = Message{Answered: requested, Entries: responder.MissingEntries(requested, requester.ChecksumsOf(requested))}
		requester.OfferEntries(message.Entries)
	}
}
