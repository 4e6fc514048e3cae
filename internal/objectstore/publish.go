package objectstore

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// BundleKey is the object that holds the newest signed bundle.
const BundleKey = "harriernotch/bundle"

// HistoryKey returns the key of the object that archives the bundle with the number.
func HistoryKey(number uint64) string { return fmt.Sprintf("harriernotch/bundles/%d", number) }

// Publisher publishes bundles. A single conditional write puts each bundle in force.
type Publisher struct {
	objects Objects
	trusted []ed25519.PublicKey
	now     func() time.Time
	pause   func(context.Context, time.Duration) error
}

// NewPublisher returns a publisher. now is the operator's clock.
func NewPublisher(objects Objects, trusted []ed25519.PublicKey, now func() time.Time) *Publisher {
	return &Publisher{objects: objects, trusted: trusted, now: now, pause: pauseFor}
}

// WithPause replaces the function that waits before a write with a lost answer is read back. The
// simulation uses it for its virtual clock. It returns the publisher.
func (p *Publisher) WithPause(pause func(context.Context, time.Duration) error) *Publisher {
	p.pause = pause
	return p
}

func pauseFor(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// Current returns the published bundle and the version of its object. The bundle is nil if none has
// been published.
func (p *Publisher) Current(ctx context.Context) (*bundle.Bundle, uint64, error) {
	object, err := p.objects.Get(ctx, BundleKey)
	if err != nil || object.Version == 0 {
		return nil, 0, err
	}
	opened, err := bundle.Open(object.Value, p.trusted)
	return opened, object.Version, err
}

// Publish puts a signed bundle in force. If two operators publish concurrently, the second one gets
// failure.Conflict. If the answer to the write is lost, the object is read back to find out whether
// the write took effect.
func (p *Publisher) Publish(ctx context.Context, raw []byte) (*bundle.Bundle, error) {
	next, err := bundle.Open(raw, p.trusted)
	if err != nil {
		return nil, err
	}
	current, version, err := p.Current(ctx)
	if err != nil {
		return nil, err
	}
	if current != nil && current.Identifier == next.Identifier {
		return next, p.archive(ctx, next)
	}
	if err := p.checkSuccession(current, next); err != nil {
		return nil, err
	}
	_, err = p.objects.Put(ctx, BundleKey, raw, version)
	switch failure.KindOf(err) {
	case failure.PlatformUnavailable:
		err = p.resolveLostAnswer(ctx, next, err)
	case failure.Conflict:
		err = p.resolveConflict(ctx, next)
	}
	if err != nil {
		return nil, err
	}
	return next, p.archive(ctx, next)
}

func (p *Publisher) checkSuccession(current, next *bundle.Bundle) error {
	if current == nil {
		return nil
	}
	if next.Number != current.Number+1 {
		return failure.New(failure.Conflict, fmt.Sprintf(
			"number %d is published; yours is %d. Look at `bundle diff`, then sign your document again as number %d",
			current.Number, next.Number, current.Number+1))
	}
	if bundle.HandoversMissing(current, next) {
		return failure.New(failure.InvalidBundle, "the member list of a pool changes; sign the document again with --platform, so that keys of unrepeatable requests stay at their owners")
	}
	if len(next.Handovers) > 0 && p.now().Sub(next.SignedAt()) > bundle.PublishSlack {
		return failure.New(failure.InvalidBundle, fmt.Sprintf("it was signed over %v ago and changes a member list; sign it again", bundle.PublishSlack))
	}
	return nil
}

// The object is read back at most readBackAttempts times, each after a wait of readBackPause.
const (
	readBackAttempts = 10
	readBackPause    = 500 * time.Millisecond
)

// resolveLostAnswer finds out whether a write with a lost answer took effect. If it did, the object
// contains the identifier of the writer's bundle, unless a later bundle has replaced it; then it
// returns failure.Conflict, since the bundle isn't in force.
func (p *Publisher) resolveLostAnswer(ctx context.Context, next *bundle.Bundle, lost error) error {
	for range readBackAttempts {
		if err := p.pause(ctx, readBackPause); err != nil {
			return failure.Wrap(failure.PlatformUnavailable, lost, "it is not known whether the bundle was published; run `bundle publish` with the same file again")
		}
		current, _, err := p.Current(ctx)
		if err != nil {
			continue
		}
		if current != nil && current.Identifier == next.Identifier {
			return nil
		}
		if current != nil && current.Number >= next.Number {
			return p.resolveConflict(ctx, next)
		}
		return failure.Wrap(failure.PlatformUnavailable, lost, "the bundle is not published so far; run `bundle publish` with the same file again")
	}
	return failure.Wrap(failure.PlatformUnavailable, lost, "it is not known whether the bundle was published; run `bundle publish` with the same file again")
}

// resolveConflict returns the error for an operator whose write lost a race, and names the bundle in
// force in it. It returns nil if that is the writer's own bundle, because a transport may have
// delivered the write before it reported a conflict.
func (p *Publisher) resolveConflict(ctx context.Context, next *bundle.Bundle) error {
	current, _, err := p.Current(ctx)
	if err != nil {
		return err
	}
	if current != nil && current.Identifier == next.Identifier {
		return nil
	}
	if current == nil {
		return failure.New(failure.Conflict, "another operator changed the bundle at the same moment; publish again")
	}
	return failure.New(failure.Conflict, fmt.Sprintf(
		"another operator published number %d at the same moment (note: %q); your bundle is not in force. Look at `bundle diff`, then sign your document again as number %d",
		current.Number, current.Note, current.Number+1))
}

// archive stores the bundle for a rollback. If it fails, it returns an error, but the publication
// stays in force.
func (p *Publisher) archive(ctx context.Context, published *bundle.Bundle) error {
	_, err := p.objects.Put(ctx, HistoryKey(published.Number), published.Raw, 0)
	if err == nil || failure.KindOf(err) == failure.Conflict {
		return nil
	}
	return failure.Wrap(failure.PlatformUnavailable, err, fmt.Sprintf("number %d is in force, but it was not archived for `bundle rollback`; publish the same file again", published.Number))
}

// Archived returns the bundle with the number from the archive.
func (p *Publisher) Archived(ctx context.Context, number uint64) (*bundle.Bundle, error) {
	object, err := p.objects.Get(ctx, HistoryKey(number))
	if err != nil {
		return nil, err
	}
	if object.Version == 0 {
		return nil, failure.New(failure.InvalidRequest, fmt.Sprintf("number %d is not in the archive", number))
	}
	return bundle.Open(object.Value, p.trusted)
}
