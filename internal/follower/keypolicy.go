package follower

import (
	"context"

	"github.com/go-faster/errors"
)

// errKeyPolicyMissing means that the store has no configuration that completes the one of a peer.
var errKeyPolicyMissing = errors.New("the store has no configuration of the version that a peer sent")

// completeConfigurations reads the configuration from the store whenever a peer has sent one that doesn't
// say whether requests need a key, as gateways of earlier builds do if it has no tenants. Until then this
// gateway isn't ready.
func (f *Follower) completeConfigurations(ctx context.Context, configurations list) {
	for ctx.Err() == nil {
		select {
		case <-f.config.State.KeyPolicyMissing():
		case <-ctx.Done():
			return
		}
		// Callers wait for it, so it is tried as often as the lists are read after a failure.
		f.retryCallWithin(ctx, maxBackoff, func(ctx context.Context) error {
			if f.config.State.KnowsKeyPolicy() {
				return nil
			}
			if _, err := f.read(ctx, configurations, false); err != nil {
				return err
			}
			if !f.config.State.KnowsKeyPolicy() {
				return errKeyPolicyMissing
			}
			return nil
		})
	}
}
