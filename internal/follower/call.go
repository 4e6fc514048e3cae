package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// callTimeout bounds a plain call. A list isn't bounded as a whole: where hundreds of
	// gateways start together and read thousands of entries, the store's own link takes
	// seconds, and giving up would begin all of it anew.
	callTimeout = 1200 * time.Millisecond
	// maxAnswerBytes bounds an answer of the store.
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

// callOnce makes a call that ends within callTimeout.
func callWithTimeout[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}
