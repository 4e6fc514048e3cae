package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// What a peer told isn't told back to it, but what changed since is.
func TestNewsIsNotToldBack(t *testing.T) {
	is := is.New(t)
	link := newLink(nil)
	old := catalog.Entry{BackEnd: catalog.BackEnd{ID: "a"}, Revision: 3}
	newer := catalog.Entry{BackEnd: catalog.BackEnd{ID: "a", Leaving: true}, Revision: 4}
	other := catalog.Entry{BackEnd: catalog.BackEnd{ID: "b"}, Revision: 4}
	link.note([]catalog.Entry{old})
	is.Equal(link.untold([]catalog.Entry{old, other}), []catalog.Entry{other})
	link.note([]catalog.Entry{old})
	is.Equal(link.untold([]catalog.Entry{newer}), []catalog.Entry{newer})
	is.Equal(link.untold([]catalog.Entry{old}), []catalog.Entry{old}) // noted once
}
