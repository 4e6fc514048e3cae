package bundle

import (
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Acceptor is a node's rule for taking a bundle into force. It holds the
// highest version accepted and the time at which that version was last known to
// be the newest on the platform.
//
// The number only ever rises, so a node never goes back to an older version,
// whatever order messages arrive in. Going back on purpose means publishing the
// old document under a higher number.
type Acceptor struct {
	trusted     []ed25519.PublicKey
	current     *Bundle
	highestSeen uint64
	confirmedAt time.Time
}

// NewAcceptor returns an Acceptor without a bundle.
func NewAcceptor(trusted []ed25519.PublicKey) *Acceptor {
	return &Acceptor{trusted: trusted}
}

// Current returns the version in force, or nil.
func (a *Acceptor) Current() *Bundle { return a.current }

// Number returns the number in force, or 0.
func (a *Acceptor) Number() uint64 {
	if a.current == nil {
		return 0
	}
	return a.current.Number
}

// Offer verifies raw and takes it into force if its number is higher. The
// error's kind says why a bundle was refused; the old one stays in force.
func (a *Acceptor) Offer(raw []byte) (*Bundle, error) {
	opened, err := Open(raw, a.trusted)
	if err != nil {
		return nil, err
	}
	if err := a.OfferOpened(opened); err != nil {
		return nil, err
	}
	return opened, nil
}

// OfferOpened is Offer for a bundle that Open has verified already. Processes
// that host many hollow nodes use it to verify a signature once.
func (a *Acceptor) OfferOpened(opened *Bundle) error {
	if opened.Number <= a.Number() {
		return failure.New(failure.StaleBundle, fmt.Sprintf("number %d is not above %d, which is in force", opened.Number, a.Number()))
	}
	a.current = opened
	a.ObserveNumber(opened.Number)
	a.confirmedAt = time.Time{}
	return nil
}

// Heard notes a number that another node claims to have accepted. It is only
// news: nothing is in force before its signature was checked.
func (a *Acceptor) ObserveNumber(number uint64) {
	if number > a.highestSeen {
		a.highestSeen = number
	}
}

// Behind tells whether a higher number was heard of than the one in force.
func (a *Acceptor) Behind() bool { return a.highestSeen > a.Number() }

// Confirm notes that number was the platform's newest at the given moment of
// the local clock. A confirmation of another number than the one in force says
// nothing about this one and is ignored.
func (a *Acceptor) Confirm(number uint64, at time.Time) {
	if number == a.Number() && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
}

// ConfirmedAge returns how long ago the version in force was last known to be
// the newest. ok is false when it never was.
func (a *Acceptor) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	if a.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(a.confirmedAt), true
}

// HoldsLease tells whether the node may still run keyed unrepeatable requests:
// its version was the platform's newest at most one lease ago.
//
// Why this is safe: a version that moves a key to another owner is published at
// a moment P, and its handover ends no earlier than P plus one lease plus the
// clock error. A node that missed that version was last confirmed before P, so
// it stops by P plus one lease and never takes a key issued after the handover;
// the new owner takes only such keys. See OwnerOf and SuccessionOf.
func (a *Acceptor) HoldsLease(now time.Time) bool {
	age, ok := a.ConfirmedAge(now)
	return ok && age <= a.current.Content.Control.OwnershipLease.Std()
}

// ForceForMeasurement takes a bundle into force whatever its number. It exists
// to show that the checkers notice a node that goes back.
func (a *Acceptor) ForceForMeasurement(opened *Bundle) {
	a.current = opened
	a.confirmedAt = time.Time{}
}
