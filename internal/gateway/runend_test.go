package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// identityDialect is a Dialect that only asks for an identity.
type identityDialect struct{ Dialect }

func (identityDialect) WriteIdentityQuestion(*http.Request) {}

// connectTimeout is how long a dial may take.
const connectTimeout = 250 * time.Millisecond

// Guards against a failure of this process, or of its machine, that is taken for the end of a run.
func TestFailedQuestionsTellWhetherARunHasEnded(t *testing.T) {
	for name, each := range map[string]struct {
		dial           func(context.Context) (net.Conn, error)
		unacknowledged bool
		want           runEnd
	}{
		"refused":                       {failWith(syscall.ECONNREFUSED), false, runRefused},
		"no descriptors":                {failWith(syscall.EMFILE), true, runEndUnknown},
		"no local ports":                {failWith(syscall.EADDRNOTAVAIL), true, runEndUnknown},
		"no network":                    {failWith(syscall.ENETUNREACH), true, runEndUnknown},
		"reset":                         {failWith(syscall.ECONNRESET), true, runEndUnknown},
		"ended without an answer":       {connectAtOnce, true, runEndUnknown},
		"queue full":                    {dialUntilTimeout, false, runEndUnknown},
		"machine lost":                  {dialUntilTimeout, true, runUnreachable},
		"no route to the lost machine":  {failWith(syscall.EHOSTUNREACH), true, runUnreachable},
		"machine lost, process delayed": {func(ctx context.Context) (net.Conn, error) { time.Sleep(time.Second); return nil, ctx.Err() }, true, runEndUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := hop.NewDirectTransport(func(ctx context.Context, _, _ string) (net.Conn, error) {
					ctx, cancel := context.WithTimeout(ctx, connectTimeout)
					defer cancel()
					return each.dial(ctx)
				}, false)
				inquiry := runEndInquiry{transport: transport, dialect: identityDialect{}}
				run := brokenRun{request: "r", backEnd: "b", address: probedAddress, unacknowledged: each.unacknowledged}
				end, _ := inquiry.ask(t.Context(), run, dispatch.Confirmation{Until: time.Now().Add(time.Second)})
				is.Equal(end, each.want)
				time.Sleep(2 * time.Second) // until the dial has returned
			})
		})
	}
}
