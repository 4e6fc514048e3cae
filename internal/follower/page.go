package follower

import (
	"context"
	"strings"
	"unicode"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// maxPageTries is the number of times that a page after the first is requested before the
	// read of the list fails. On a loaded link, a read of sixty pages that started over with each
	// late page would never end. The first page is requested once, as it shows whether the store
	// answers at all.
	maxPageTries = 3
	// maxPages limits the number of pages of one list.
	maxPages = 200
)

// Page is one page of a list.
type Page[T any] struct {
	Items []T
	// At is the position of the page.
	At catalog.Position
	// Last is the name of the last item. If there is More, the next page begins after it.
	Last string
	More bool
}

// MapPage returns the page with the items that parse returns, without those for which ok is false.
func MapPage[From, To any](page Page[From], parse func(From) (parsed To, ok bool)) Page[To] {
	mapped := Page[To]{At: page.At, Last: page.Last, More: page.More}
	for _, each := range page.Items {
		if parsed, ok := parse(each); ok {
			mapped.Items = append(mapped.Items, parsed)
		}
	}
	return mapped
}

// ReadList reads a list page by page. The position of the list is that of its oldest page, because
// the other pages may include later changes. If the pages belong to different eras, it returns an
// error.
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
			return nil, catalog.Position{}, errors.New("the store began a new era during the read of a list")
		}
		if isFirst || page.At.Revision < at.Revision {
			at = page.At
		}
		list = append(list, page.Items...)
		if !page.More {
			return list, at, nil
		}
		if page.Last == "" {
			return nil, catalog.Position{}, errors.New("no object of a page has a name from which the list goes on")
		}
		after = page.Last
	}
	return nil, catalog.Position{}, errors.Errorf("the list has more than %d pages", maxPages)
}

// ReadPage makes the call for a page of a list. It retries a failed call unless the page is the
// first, and returns the error of the last try.
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

// ContinueAfter returns the text after which a list goes on that has been read up to the name. A name that fits into no
// request is replaced by one that follows all names with the same beginning: none of them can be used.
func ContinueAfter(name string) string {
	if len(name) <= catalog.MaxNameBytes {
		return name
	}
	return strings.ToValidUTF8(name[:catalog.MaxNameBytes], "") + string(unicode.MaxRune)
}
