package follower

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// pageTries is how often a page after the first is asked for before its list is given
	// up: a list of sixty pages that began anew with each late one would never end on a
	// loaded link. The first page shows whether the store answers at all.
	maxPageTries = 3
	// maxPages bounds the pages of one list.
	maxPages = 200
)

// Page is one page of a list.
type Page[T any] struct {
	Items []T
	// At is the position of the page.
	At catalog.Position
	// Last names the last item, after which the next page begins, if there is More.
	Last string
	More bool
}

// ReadList reads a list page by page. Its position is that of its oldest page: a later one may
// tell of later changes. Pages of two eras make no list.
func ReadList[T any](ctx context.Context, read func(ctx context.Context, after string) (Page[T], error)) ([]T, catalog.Position, error) {
	var list []T
	var at catalog.Position
	after := ""
	for range maxPages {
		isFirst := after == ""
		page, err := ReadPage(ctx, isFirst, func(ctx context.Context) (Page[T], error) { return read(ctx, after) })
		if err != nil {
			return nil, catalog.Position{}, err
		}
		if !isFirst && page.At.Era != at.Era {
			return nil, catalog.Position{}, errors.New("the store began a new era while a list was read")
		}
		if isFirst || page.At.Revision < at.Revision {
			at = page.At
		}
		list = append(list, page.Items...)
		if !page.More || page.Last == "" {
			return list, at, nil
		}
		after = page.Last
	}
	return nil, catalog.Position{}, errors.Errorf("a list doesn't end after %d pages", maxPages)
}

// ReadPage makes the call for a page of a list, again after a failure where pages before it
// were read, and returns the error of the last try.
func ReadPage[T any](ctx context.Context, first bool, call func(ctx context.Context) (Page[T], error)) (Page[T], error) {
	tries := maxPageTries
	if first {
		tries = 1
	}
	var err error
	for range tries {
		var page Page[T]
		if page, err = callWithTimeout(ctx, call); err == nil {
			return page, nil
		}
	}
	return Page[T]{}, err
}
