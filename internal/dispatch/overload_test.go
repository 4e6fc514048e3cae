package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func takenShare(lasting time.Duration, urgency int) float64 {
	taken := 0
	for i := range 1000 {
		if HasTime(lasting, urgency, fmt.Sprint("request-", i)) {
			taken++
		}
	}
	return float64(taken) / 1000
}

func TestProcessThatRunsLateRefusesTheLeastUrgentFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(takenShare(0, 9), 1.0)
	is.Equal(takenShare(tolerableLag, 9), 1.0)
	is.True(takenShare(300*time.Millisecond, 9) < takenShare(300*time.Millisecond, 0))
	is.True(takenShare(time.Minute, 9) > 0.1) // none is starved
	is.True(takenShare(time.Minute, 0) < 1)
	for rank := range 9 {
		is.True(takenShare(400*time.Millisecond, rank) >= takenShare(400*time.Millisecond, rank+1))
	}
}
