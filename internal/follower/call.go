package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// callTimeout limits a plain call, such as the read of one page of a list. The read of a
	// whole list has no time limit: if hundreds of gateways start together and read thousands of
	// entries, the transfers over the store's link take seconds, and a read that gave up would
	// have to start over.
	callTimeout = 1200 * time.Millisecond
	// maxAnswerBytes limits the body of an answer. The rest of a longer one is not read.
	maxAnswerBytes = 16 << 20
)

// Answer is the store's answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Number returns the number in a header field, or 0 if the answer doesn't have the field. A value that is no number is an
// error.
func (a Answer) Number(header string) (uint64, error) {
	text := a.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "the store's %s can't be parsed", header)
	}
	return value, nil
}

// CheckWrite returns an error unless the answer says that the write is done, or has doneStatus: the store is as the write
// would leave it.
func (a Answer) CheckWrite(doneStatus int) error {
	if a.Status/100 == 2 || a.Status == doneStatus {
		return nil
	}
	return errors.Errorf("the store answered with status %d", a.Status)
}

// Call sends an HTTP request to the store, with the body encoded as JSON unless it is nil.
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

// callWithTimeout makes a call with a context that ends after callTimeout.
func callWithTimeout[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

// tryWithin makes a call without a result, with a context that ends after the timeout.
func tryWithin(ctx context.Context, timeout time.Duration, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}
