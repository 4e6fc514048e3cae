package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// An entry that a peer sent isn't sent back to it, but later changes of the entry are.
func TestEntriesAreNotEchoed(t *testing.T) {
	is := is.New(t)
	link := newLink(nil)
	old := catalog.Entry{BackEnd: catalog.BackEnd{ID: "a"}, Revision: 3}
	newer := catalog.Entry{BackEnd: catalog.BackEnd{ID: "a", Leaving: true}, Revision: 4}
	other := catalog.Entry{BackEnd: catalog.BackEnd{ID: "b"}, Revision: 4}
	link.recordEntries([]catalog.Entry{old})
	is.Equal(link.withoutReceivedEntries([]catalog.Entry{old, other}), []catalog.Entry{other})
	link.recordEntries([]catalog.Entry{old})
	is.Equal(link.withoutReceivedEntries([]catalog.Entry{newer}), []catalog.Entry{newer})
	is.Equal(link.withoutReceivedEntries([]catalog.Entry{old}), []catalog.Entry{old}) // received only once
	cold := catalog.Entry{BackEnd: catalog.BackEnd{ID: "c", WarmUp: 3}, Revision: 5}
	link.recordEntries([]catalog.Entry{cold})
	cold.BackEnd.WarmUpAt = catalog.Position{Revision: 5}
	is.Equal(len(link.withoutReceivedEntries([]catalog.Entry{cold})), 0)
}

func TestHoldingsAreNotEchoed(t *testing.T) {
	is := is.New(t)
	link := newLink(nil)
	link.recordHoldings([]dispatch.Holdings{{BackEnd: "a", Parts: []uint64{1, 2}, Tokens: []int{2000, 3000}}})
	changed := []dispatch.Holdings{
		{BackEnd: "a", Parts: []uint64{2, 3}, Tokens: []int{3000, 4000}},
		{BackEnd: "b", Parts: []uint64{1}, Tokens: []int{2000}},
	}
	is.Equal(link.withoutReceivedHoldings(changed), []dispatch.Holdings{
		{BackEnd: "a", Parts: []uint64{3}, Tokens: []int{4000}},
		{BackEnd: "b", Parts: []uint64{1}, Tokens: []int{2000}},
	})
	is.Equal(link.withoutReceivedHoldings([]dispatch.Holdings{{BackEnd: "a", Parts: []uint64{1}, Tokens: []int{2000}}}), nil)
	is.Equal(len(link.withoutReceivedHoldings(changed)[0].Parts), 2) // sent again after a new update
}

// After a message without an update the next one may be delayed, so what the receiver would miss
// counts as an update.
func TestMessageCarriesUpdate(t *testing.T) {
	is := is.New(t)
	before := Message{From: "g", Version: 3, KnowsEvacuations: true, StoreAgeMillis: 40}
	same := before
	same.StoreAgeMillis = 240
	is.True(!same.carriesUpdate(before))
	for _, change := range []func(m *Message){
		func(m *Message) { m.Version = 4 },
		func(m *Message) { m.KnowsEvacuations = false },
		func(m *Message) { m.WantDocument = true },
		func(m *Message) { m.Digest = catalog.Digest{1} },
		func(m *Message) { m.Requested = 1 },
		func(m *Message) { m.Answered = 1 },
		func(m *Message) { m.Document = []byte{1} },
		func(m *Message) { m.Entries = []catalog.Entry{{}} },
		func(m *Message) { m.Evacuations = []catalog.Evacuation{{}} },
		func(m *Message) { m.Loads = []dispatch.Load{{}} },
		func(m *Message) { m.Holdings = []dispatch.Holdings{{}} },
		func(m *Message) { m.Peers = []Peer{{}} },
	} {
		message := same
		change(&message)
		is.True(message.carriesUpdate(before))
	}
}
