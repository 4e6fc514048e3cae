package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Guards against a panic of the core, which the server or a task group recovers, that leaves the state locked, so that the
// process lives and serves nobody.
func TestPanicOfTheCoreLeavesTheStateUnlocked(t *testing.T) {
	is := is.New(t)
	_, state := newTestState(t)
	func() {
		defer func() { is.Equal(recover(), "odd request") }()
		state.decide(func(time.Time, *dispatch.Core) dispatch.Decision { panic("odd request") })
	}()
	isLocked := !state.mutex.TryLock()
	is.True(!isLocked)
}
