package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

func TestClockCountsSuspensions(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspended := 5 * time.Second // before the clock was created
		c := NewFrom(func() time.Duration { return suspended })
		began := c.Now()
		time.Sleep(time.Second)
		is.Equal(c.Since(began), time.Second)
		suspended += 8 * time.Second
		is.Equal(c.Since(began), 9*time.Second)
		is.Equal(c.Until(began), -9*time.Second)
		is.Equal(c.Suspended(), 8*time.Second)
		suspended -= 2 * time.Second // impossible, so it is ignored
		c.Now()
		is.Equal(c.Suspended(), 8*time.Second)
	})
}

func TestNilClockIsMonotonicClock(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c *Clock
		began := c.Now()
		is.Equal(began, time.Now())
		time.Sleep(time.Second)
		is.Equal(c.Since(began), time.Second)
		is.Equal(c.Suspended(), time.Duration(0))
	})
}

func TestSystemClockDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	c := New()
	before := c.Now()
	is.True(!c.Now().Before(before))
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		_ = c.Now()
	}
}
