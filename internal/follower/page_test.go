package follower

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Guards against a list that counts as complete although a page without readable names hides the rest of it: what isn't
// in a complete list counts as removed.
func TestListThatCannotGoOnIsNotComplete(t *testing.T) {
	is := is.New(t)
	pages := map[string]Page[string]{
		"":  {Items: []string{"a", "b"}, Last: "b", More: true, At: catalog.Position{Revision: 7}},
		"b": {At: catalog.Position{Revision: 7}, More: true},
	}
	read := func(_ context.Context, after string) (Page[string], error) { return pages[after], nil }
	_, _, err := ReadList(t.Context(), read)
	is.True(err != nil)
	pages["b"] = Page[string]{Items: []string{"c"}, At: catalog.Position{Revision: 7}}
	list, at, err := ReadList(t.Context(), read)
	is.NoErr(err)
	is.Equal(list, []string{"a", "b", "c"})
	is.Equal(at.Revision, uint64(7))
}
