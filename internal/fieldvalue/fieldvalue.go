// Package fieldvalue parses numbers in the values of header fields. Text that can't be used counts as not given: such
// fields only improve a decision.
package fieldvalue

import (
	"strconv"
	"strings"
	"time"
)

const (
	// MaxCount is far above the number of tokens in any prompt or answer, and any pace.
	MaxCount = 1 << 30
	// maxDuration is the longest time that is believed.
	maxDuration = 24 * time.Hour
)

// Count returns 0 unless the text is a positive number up to MaxCount.
func Count(text string) int {
	value, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || value < 0 || value > MaxCount {
		return 0
	}
	return value
}

// CountPair parses FIRST,SECOND.
func CountPair(text string) (first, second int) {
	left, right, _ := strings.Cut(text, ",")
	return Count(left), Count(right)
}

// Milliseconds returns 0 unless the text is a positive number of milliseconds up to 24 hours.
func Milliseconds(text string) time.Duration {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0) || value > float64(maxDuration/time.Millisecond) {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}
