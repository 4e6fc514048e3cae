package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// tolerableLag is the lasting delay of this process up to which it takes every
	// request, and hopelessLag that from which it takes the fewest.
	minSheddingLag = 100 * time.Millisecond
	maxSheddingLag = 500 * time.Millisecond
	// mostRefused is the largest share of the least urgent requests that is refused:
	// some are always taken, so that no kind is starved.
	maxSheddingShare = 0.8
	// urgentAllowance is by how much smaller the share is for each more urgent rank.
	sheddingShareStep = 0.06
	// leastUrgent is the last rank.
	lowestUrgency = 9
)

// HasTime tells whether this process has time for one more request. Where it runs
// late for a while, each further request makes all of them late: some are refused
// at once, the least urgent first, and find another gateway. lasting is a delay that
// isn't over after one moment, such as a pause of the whole process. The choice is
// a hash of the request, so that a caller that comes back has a new chance.
func ShouldAdmit(sustainedLag time.Duration, urgency int, id string) bool {
	over := float64(sustainedLag-minSheddingLag) / float64(maxSheddingLag-minSheddingLag)
	share := maxSheddingShare*min(max(over, 0), 1) - sheddingShareStep*float64(lowestUrgency-min(urgency, lowestUrgency))
	if over <= 0 || share <= 0 {
		return true
	}
	const scale = 1 << 16
	return float64(xxhash.Sum64String(id)%scale) >= share*scale
}
