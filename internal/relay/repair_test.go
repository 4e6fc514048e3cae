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

// One peer at a time is asked for a bucket, a part of the list with each question, and the
// next part when the answer is there.
func TestOnePeerIsAskedForABucket(t *testing.T) {
	is := is.New(t)
	var all questions
	var first, second repair
	digest := digestOf("b1")
	first.hear(&all, Message{Digest: digest})
	second.hear(&all, Message{Digest: digest})
	asked := first.next(start, &all, catalog.AllBuckets)
	is.Equal(bits.OnesCount64(uint64(asked)), mostAsked)
	is.Equal(first.next(start, &all, catalog.AllBuckets), catalog.Buckets(0)) // its answer isn't there
	other := second.next(start, &all, catalog.AllBuckets)
	is.Equal(bits.OnesCount64(uint64(other)), mostAsked)
	is.Equal(asked&other, catalog.Buckets(0))
	first.hear(&all, Message{Answer: asked})
	next := first.next(start, &all, catalog.AllBuckets)
	is.Equal(bits.OnesCount64(uint64(next)), mostAsked)
	is.Equal(next&(asked|other), catalog.Buckets(0))
}

func TestAnotherPeerIsAskedForWhatIsNotAnswered(t *testing.T) {
	is := is.New(t)
	var all questions
	var first, second repair
	first.hear(&all, Message{Digest: digestOf("b1")})
	second.hear(&all, Message{Digest: digestOf("b1")})
	const lacking = catalog.Buckets(1)
	is.Equal(first.next(start, &all, lacking), lacking)
	is.Equal(second.next(start, &all, lacking), catalog.Buckets(0))
	is.Equal(second.next(start.Add(answerTime), &all, lacking), lacking)
	is.Equal(first.next(start.Add(3*answerTime), &all, lacking), catalog.Buckets(0)) // once for each digest
}

func TestPeerThatKnowsTheSameIsNotAsked(t *testing.T) {
	is := is.New(t)
	var all questions
	var peer repair
	is.Equal(peer.next(start, &all, catalog.AllBuckets), catalog.Buckets(0)) // it told no digest
	peer.hear(&all, Message{Digest: digestOf("b1")})
	is.Equal(peer.next(start, &all, 0), catalog.Buckets(0))
	is.Equal(peer.next(start, &all, catalog.AllBuckets), catalog.Buckets(0)) // settled for that digest
}

// Whatever parts of a list gateways know that are connected in a chain, and whichever of
// them is heard first, all end with the whole list.
func TestAllEndWithTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways, backEnds = 5, 200
		views := make([]*catalog.View, gateways)
		for i := range views {
			views[i] = catalog.NewView()
			views[i].OfferEntries(entriesFrom(rapid.IntRange(0, backEnds-1).Draw(t, "from"), rapid.IntRange(0, backEnds).Draw(t, "to")))
		}
		for range gateways { // as many steps as the chain is long
			for i := range gateways - 1 {
				exchange(views[i], views[i+1])
				exchange(views[i+1], views[i])
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

// exchange lets a gateway ask the teller until nothing is left to ask.
func exchange(asker, teller *catalog.View) {
	var all questions
	var peer repair
	now := start
	message := Message{Digest: teller.Digest()}
	for {
		peer.hear(&all, message)
		now = now.Add(time.Millisecond)
		asked := peer.next(now, &all, asker.Digest().Differing(peer.digest))
		if asked == 0 {
			return
		}
		message = Message{Answer: asked, Entries: teller.MissingEntries(asked, asker.ChecksumsOf(asked))}
		asker.OfferEntries(message.Entries)
	}
}
