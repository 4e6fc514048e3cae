package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// callTimeout bounds a plain call. A list isn't bounded as a whole: where hundreds of
	// gateways start together and read thousands of entries, the store's own link takes
	// seconds, and giving up would begin all of it anew.
	callTimeout = 1200 * time.Millisecond
	// pageTries is how often a page after the first is asked for before its list is given
	// up: a list of sixty pages that began anew with each late one would never end on a
	// loaded link. The first page shows whether the store answers at all.
	pageTries = 3
	// maxPages bounds the pages of one list, and maxAnswerBytes an answer of the store.
	maxPages       = 200
	maxAnswerBytes = 16 << 20
)

// Answer is the store's answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call makes a call over HTTP, with a body in JSON unless it is nil.
func Call(ctx context.Context, client *http.Client, method, url string, body any) (Answer, error) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return Answer{}, err
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return Answer{}, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read the store's answer")
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: raw}, nil
}

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
	tries := pageTries
	if first {
		tries = 1
	}
	var page Page[T]
	var err error
	for range tries {
		err = callOnce(ctx, func(ctx context.Context) error {
			var err error
			page, err = call(ctx)
			return err
		})
		if err == nil {
			return page, nil
		}
	}
	return Page[T]{}, err
}

func callOnce(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

// Parsed keeps what was read last of an object: a large one is read again and again at the
// position that it had.
type Parsed[T any] struct {
	mutex sync.Mutex
	value T
	at    catalog.Position
	known bool
}

// At returns what is kept of the position, or what parse returns, which is kept unless it is an
// error.
func (p *Parsed[T]) At(at catalog.Position, parse func() (T, error)) (T, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.known && p.at == at {
		return p.value, nil
	}
	value, err := parse()
	if err == nil {
		p.value, p.at, p.known = value, at, true
	}
	return value, err
}
