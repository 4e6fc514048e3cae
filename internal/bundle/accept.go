package bundle

import (
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Acceptor decides which bundle is in force on a node. It holds the highest version accepted, and
// the time at which that version was last known to be the newest on the platform.
//
// The number only increases, so a node never goes back to an older version, in whatever order
// messages arrive. To go back on purpose, operators publish the old document under a higher
// number.
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

// Current returns the bundle in force, or nil.
func (a *Acceptor) Current() *Bundle { return a.current }

// Number returns the number of the bundle in force, or 0.
func (a *Acceptor) Number() uint64 {
	if a.current == nil {
		return 0
	}
	return a.current.Number
}

// Offer verifies raw and puts it in force if its number is higher. Otherwise the current bundle
// stays in force, and the error's kind is the reason.
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

// OfferOpened is like Offer, for a bundle that Open has already verified. Processes that host
// many simulated nodes use it to verify a signature only once.
func (a *Acceptor) OfferOpened(opened *Bundle) error {
	if opened.Number <= a.Number() {
		return failure.New(failure.StaleBundle, fmt.Sprintf("number %d is not above %d, which is in force", opened.Number, a.Number()))
	}
	a.current = opened
	a.ObserveNumber(opened.Number)
	a.confirmedAt = time.Time{}
	return nil
}

// ObserveNumber records a number that another node claims to have accepted. It is only a hint: no
// bundle comes into force before its signature is verified.
func (a *Acceptor) ObserveNumber(number uint64) {
	if number > a.highestSeen {
		a.highestSeen = number
	}
}

// Behind reports whether a higher number than the one in force was observed.
func (a *Acceptor) Behind() bool { return a.highestSeen > a.Number() }

// Confirm records that number was the platform's newest at the given time of the local clock. It
// ignores a confirmation of any number but the one in force, since that says nothing about the
// bundle in force.
func (a *Acceptor) Confirm(number uint64, at time.Time) {
	if number == a.Number() && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
}

// ConfirmedAge returns the time since the version in force was last known to be the newest. ok is
// false if it never was.
func (a *Acceptor) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	if a.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(a.confirmedAt), true
}

// HoldsLease reports whether the node may still run keyed unrepeatable requests: its version was
// the platform's newest at most one lease ago.
//
// Why this is safe: a version that moves a key to another owner is published at a time P, and its
// handover ends no earlier than P plus one lease plus the clock error. A node that missed that
// version was last confirmed before P, so it stops by P plus one lease. The time of issue of a
// key that it accepts until then is at most one clock error later. So the node never accepts a
// key that was issued after the end of the handover, and the new owner accepts only such keys.
// See OwnerOf and SuccessionOf.
func (a *Acceptor) HoldsLease(now time.Time) bool {
	age, ok := a.ConfirmedAge(now)
	return ok && age <= a.current.Content.Control.OwnershipLease.Std()
}

// ForceForMeasurement puts a bundle in force whatever its number. It exists to show that the
// checkers detect a node that goes back to an older version.
func (a *Acceptor) ForceForMeasurement(opened *Bundle) {
	a.current = opened
	a.confirmedAt = time.Time{}
}
