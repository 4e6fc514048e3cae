package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func admittedShare(sustainedLag time.Duration, urgency int) float64 {
	admitted := 0
	for i := range 1000 {
		if ShouldAdmit(sustainedLag, urgency, fmt.Sprint("request-", i)) {
			admitted++
		}
	}
	return float64(admitted) / 1000
}

func TestLaggingProcessShedsLeastUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(admittedShare(0, 9), 1.0)
	is.Equal(admittedShare(minSheddingLag, 9), 1.0)
	is.True(admittedShare(300*time.Millisecond, 9) < admittedShare(300*time.Millisecond, 0))
	is.True(admittedShare(time.Minute, 9) > 0.1) // none is starved
	is.True(admittedShare(time.Minute, 0) < 1)
	for rank := range 9 {
		is.True(admittedShare(400*time.Millisecond, rank) >= admittedShare(400*time.Millisecond, rank+1))
	}
}
