package dispatch

import "time"

const (
	// minSheddingLag is the sustained lag of this process up to which it accepts every
	// request, and maxSheddingLag the lag from which it accepts the fewest.
	minSheddingLag = 100 * time.Millisecond
	maxSheddingLag = 500 * time.Millisecond
	// maxSheddingShare is the largest share of the least urgent requests that is refused. Some
	// are always accepted, so that no urgency is starved.
	maxSheddingShare = 0.8
	// sheddingShareStep is how much smaller the refused share is for each more urgent rank.
	sheddingShareStep = 0.06
	// lowestUrgency is the rank of the least urgent requests.
	lowestUrgency = 9
)

// ShouldAdmit reports whether this process should accept one more request. While it lags, each
// further request delays all others. So it refuses some requests at once, the least urgent
// first, and these can go to another gateway. sustainedLag excludes a single short delay, such
// as a pause of the whole process. The choice is a hash of the request ID, so that a caller that
// tries again gets a new chance.
func ShouldAdmit(sustainedLag time.Duration, urgency int, id string) bool {
	over := float64(sustainedLag-minSheddingLag) / float64(maxSheddingLag-minSheddingLag)
	share := maxSheddingShare*min(max(over, 0), 1) - sheddingShareStep*float64(lowestUrgency-min(urgency, lowestUrgency))
	if over <= 0 || share <= 0 {
		return true
	}
	return hashFraction(id) >= share
}
