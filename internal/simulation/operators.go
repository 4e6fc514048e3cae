package simulation

import (
	"context"
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/objectstore"
)

// operators publishes bundles with the same code as the command line.
type operators struct {
	s        *Simulation
	attempts int
	// omitted and leaving are the back ends that the next bundle omits or marks as
	// leaving.
	omitted map[string]bool
	leaving map[string]bool
}

func newOperators(s *Simulation) *operators {
	return &operators{s: s, omitted: map[string]bool{}, leaving: map[string]bool{}}
}

func (o *operators) publisher() *objectstore.Publisher {
	now := func() time.Time { return o.s.loop.now }
	// An operator's whole action takes no virtual time, so the publisher reads back a
	// write of unknown outcome without a pause.
	noPause := func(context.Context, time.Duration) error { return nil }
	return objectstore.NewPublisher(o.s.platform, o.s.trusted, now).WithPause(noPause)
}

// sign signs the current document as the successor of the published bundle. It returns the
// signed bytes and the published bundle.
func (o *operators) sign() ([]byte, *bundle.Bundle, error) {
	o.attempts++
	current, _, err := o.publisher().Current(context.Background())
	if err != nil {
		return nil, nil, err
	}
	source := o.s.options.Size.document(o.omitted, o.leaving, o.attempts)
	content, err := bundle.Parse("bundle", source)
	if err != nil {
		return nil, nil, err
	}
	header := bundle.Header{Number: 1, Identifier: fmt.Sprintf("operator-%d", o.attempts), SignedAtMillis: o.s.loop.now.UnixMilli()}
	if current != nil {
		header.Number = current.Number + 1
	}
	succession := bundle.SuccessionOf(current, content, o.s.loop.now)
	header.Handovers = succession.Handovers
	if !succession.StaleUntil.IsZero() {
		header.StaleUntilMillis = succession.StaleUntil.UnixMilli()
	}
	raw, err := bundle.Sign(header, source, o.s.signingKey)
	return raw, current, err
}

// publish publishes the current document.
func (o *operators) publish() {
	raw, _, err := o.sign()
	if err != nil {
		o.s.loop.log("operator could not sign: %v", failure.KindOf(err))
		return
	}
	published, err := o.publisher().Publish(context.Background(), raw)
	if err != nil {
		o.s.loop.log("operator could not publish: %v", failure.KindOf(err))
		return
	}
	o.s.loop.log("number %d published", published.Number)
	o.s.checks.awaitPublished(published)
}

// race lets two operators publish concurrently; only one may succeed.
func (o *operators) race() {
	firstRaw, _, err := o.sign()
	if err != nil {
		return
	}
	secondRaw, _, err := o.sign()
	if err != nil {
		return
	}
	var secondErr, firstErr error
	o.s.platform.beforeWrite = func() { _, secondErr = o.publisher().Publish(context.Background(), secondRaw) }
	published, firstErr := o.publisher().Publish(context.Background(), firstRaw)
	o.s.platform.beforeWrite = nil
	o.s.checks.checkRace(secondErr, firstErr)
	if firstErr == nil {
		o.s.checks.awaitPublished(published)
		return
	}
	if current, _, err := o.publisher().Current(context.Background()); err == nil && current != nil {
		o.s.checks.awaitPublished(current)
	}
}
