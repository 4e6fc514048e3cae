package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/pipenet"
)

// suspendedDialect is a Dialect whose machine is suspended for as long as given while it parses the
// headers of a request.
type suspendedDialect struct {
	Dialect
	total      *atomic.Int64
	suspension time.Duration
}

func (d suspendedDialect) ReadRequest(http.Header) RequestFacts {
	time.Sleep(time.Millisecond) // by now the server reads ahead on the connection
	d.total.Add(int64(d.suspension))
	return RequestFacts{ID: "r1"}
}

func (suspendedDialect) FormatWait(wait time.Duration) string { return wait.String() }

// withSuspendedHandler runs a test against a handler with one public route of the given timeout, which is
// suspended for the given time while it reads a request.
func withSuspendedHandler(t *testing.T, timeout, suspension time.Duration, test func(client *http.Client, url string, logs *strings.Builder)) {
	bubble.Test(t, func(t *testing.T) {
		total, logs := &atomic.Int64{}, &strings.Builder{}
		clock := clock.NewFrom(func() time.Duration { return time.Duration(total.Load()) })
		log := eventlog.New(logs, logrus.InfoLevel, nil)
		defer log.Close()
		state := NewState(dispatch.New(dispatch.DefaultConfig()), log)
		state.UseClock(clock)
		state.OfferConfiguration(&catalog.Configuration{
			Version: 1, StatedKeyPolicy: catalog.KeysNotRequired, Services: []catalog.Service{{Name: "s"}},
			Routes: []catalog.Route{{Name: "r", Host: "chat.example", Prefix: "/", Targets: []catalog.Target{{Service: "s", Weight: 1}}, Timeout: timeout, MaxAttempts: 1, Public: true}},
		}, SourceStore)
		state.OfferList(nil, catalog.Position{}, SourceStore)
		lag := NewLagMeter(clock)
		lag.SettleWait(clock.Now())
		handler := NewHandler(Config{
			State: state, Dialect: suspendedDialect{total: total, suspension: suspension}, Buffers: NewBufferLimit(0), Lag: lag, Log: log,
			Metrics: NewMetrics(tally.NoopScope), MaxBodyBytes: 1 << 10,
		})
		network := pipenet.New()
		listener, err := network.Listen("pipe", "chat.example:80")
		is.New(t).NoErr(err)
		server := &http.Server{Handler: handler}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial, DisableKeepAlives: true}}
		test(client, "http://chat.example/a", logs)
	})
}

// Guards against callers that get no answer because the time of their request is over once the gateway
// has read it: they wait a little longer than that, and must learn that nothing was run.
func TestRequestWhoseTimeIsOverIsAnswered(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			withSuspendedHandler(t, time.Second, 2*time.Second, func(client *http.Client, url string, logs *strings.Builder) {
				is := is.New(t)
				request, err := http.NewRequest(method, url, nil)
				is.NoErr(err)
				if method == http.MethodPost {
					request, err = http.NewRequest(method, url, strings.NewReader("question"))
					is.NoErr(err)
				}
				response, err := client.Do(request)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, http.StatusServiceUnavailable)
				is.Equal(response.Header.Get(failure.HeaderKind), failure.DeadlineUnmeetable.String())
				is.Equal(response.Header.Get(failure.HeaderRan), string(failure.RanNo))
				synctest.Wait()
				is.True(strings.Contains(logs.String(), string(eventlog.RequestRefused)))
				is.True(!strings.Contains(logs.String(), string(eventlog.CallerLeft)))
			})
		})
	}
}

// Guards against requests that run, or get a final refusal, while it isn't known whether they need a key: nothing was run,
// and another gateway may know.
func TestKeyPolicyDecidesWithoutAKnownKey(t *testing.T) {
	is := is.New(t)
	route := catalog.Route{Name: "r", Host: "chat.example", Prefix: "/"}
	public := route
	public.Public = true
	for _, each := range []struct {
		policy catalog.KeyPolicy
		route  catalog.Route
		want   failure.Kind // Internal: the request passes
	}{
		{catalog.KeyPolicyUnknown, route, failure.NotReady}, {catalog.KeysRequired, route, failure.Unauthenticated},
		{catalog.KeyPolicyUnknown, public, failure.Internal}, {catalog.KeysRequired, public, failure.Internal}, {catalog.KeysNotRequired, route, failure.Internal},
	} {
		index := catalog.NewIndex(&catalog.Configuration{Version: 1, StatedKeyPolicy: each.policy})
		for _, key := range []string{"", "unknown"} {
			err := (&Handler{}).authenticate(&call{route: &each.route, facts: RequestFacts{Key: key}}, index)
			if each.want == failure.Internal {
				is.NoErr(err)
				continue
			}
			is.Equal(failure.KindOf(err), each.want)
			is.Equal(each.want.Answer().Ran, failure.RanNo)
		}
	}
}
