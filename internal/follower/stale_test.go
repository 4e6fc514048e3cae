package follower

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// twoCopies is a list of names of which a stale read gets an older copy.
type twoCopies struct {
	current, older     []string
	currentAt, olderAt uint64
	freshReads         int
}

func (c *twoCopies) objects() Objects[catalog.Entry] {
	return Objects[catalog.Entry]{List: func(_ context.Context, stale bool) ([]catalog.Entry, catalog.Position, error) {
		if stale {
			return entriesOf(c.older), catalog.Position{Revision: c.olderAt}, nil
		}
		c.freshReads++
		return entriesOf(c.current), catalog.Position{Revision: c.currentAt}, nil
	}}
}

// entriesOf returns entries of back ends that were written as the revisions 1, 2 and so on.
func entriesOf(ids []string) []catalog.Entry {
	var entries []catalog.Entry
	for i, id := range ids {
		entries = append(entries, catalog.Entry{BackEnd: catalog.BackEnd{ID: id, Service: "s"}, Revision: uint64(i + 1)})
	}
	return entries
}

// Guards against a back end that was added and removed unheard of and is taken from a stale list.
func TestNewBackEndOfAStaleListIsConfirmed(t *testing.T) {
	for name, each := range map[string]struct {
		knownAt    uint64
		copies     twoCopies
		told       []string
		want       int
		freshReads int
	}{
		"nothing new":               {1, twoCopies{current: []string{"a"}, older: []string{"a"}, currentAt: 9, olderAt: 5}, nil, 1, 0},
		"added and removed":         {1, twoCopies{current: []string{"a"}, older: []string{"a", "b"}, currentAt: 9, olderAt: 5}, nil, 1, 1},
		"added":                     {1, twoCopies{current: []string{"a", "b"}, older: []string{"a", "b"}, currentAt: 9, olderAt: 5}, nil, 2, 1},
		"added, and a peer tells":   {1, twoCopies{current: []string{"a", "b"}, older: []string{"a", "b"}, currentAt: 9, olderAt: 5}, []string{"a", "b"}, 2, 0},
		"older than the known list": {3, twoCopies{current: []string{"a"}, older: []string{"a", "b"}, currentAt: 9, olderAt: 2}, nil, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
				defer log.Close()
				state := gateway.NewState(dispatch.New(dispatch.DefaultConfig()), log)
				state.OfferList(entriesOf([]string{"a"}), catalog.Position{Revision: each.knownAt}, gateway.SourceStore)
				f := &Follower{config: Config{State: state, Source: &source{}}}
				followed := listOf("back_ends", f.newProgress(), each.copies.objects(), f.mergingBackEnds())
				time.AfterFunc(newsTime/2, func() { state.OfferEntries(entriesOf(each.told), gateway.SourcePeer) })
				_, err := followed.read(t.Context(), true)
				is.NoErr(err)
				is.Equal(len(state.Status().BackEnds), each.want)
				is.Equal(each.copies.freshReads, each.freshReads)
				time.Sleep(newsTime)
			})
		})
	}
}
