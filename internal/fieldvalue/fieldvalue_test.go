package fieldvalue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against numbers of a caller or a back end that are taken although they mean nothing.
func TestUnusableNumbersCountAsNotGiven(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]int{"": 0, "7": 7, " 7 ": 7, "-1": 0, "1.5": 0, "1073741824": MaxCount, "1073741825": 0, "99999999999999999999": 0, "x": 0} {
		is.Equal(Count(text), want)
	}
	first, second := CountPair("1460,80")
	is.Equal([]int{first, second}, []int{1460, 80})
	first, second = CountPair("1460")
	is.Equal([]int{first, second}, []int{1460, 0})
	for _, bad := range []string{"", "x,y", "-1,-2", "99999999999999999999,99999999999"} {
		first, second = CountPair(bad)
		is.Equal([]int{first, second}, []int{0, 0})
	}
	for text, want := range map[string]time.Duration{"": 0, "1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond, "-1": 0, "0": 0, "NaN": 0, "Inf": 0, "1e300": 0, "86400000": 24 * time.Hour, "86400001": 0, "x": 0} {
		is.Equal(Milliseconds(text), want)
	}
}
