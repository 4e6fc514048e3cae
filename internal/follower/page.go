package follower

import (
	"context"
	"time"
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
)

// ReadPage makes the call for a page of a list, again after a failure where pages before it
// were read, and returns the error of the last try.
func ReadPage(ctx context.Context, first bool, call func(ctx context.Context) error) error {
	tries := pageTries
	if first {
		tries = 1
	}
	var err error
	for range tries {
		if err = callOnce(ctx, call); err == nil {
			return nil
		}
	}
	return err
}

func callOnce(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}
