package daemon

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/standin"
)

func TestPlainAndStreamedChatsReuseContext(t *testing.T) {
	for _, protocol := range []hop.Protocol{hop.HTTP1, hop.HTTP2} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(protocol, " stream ", stream), func(t *testing.T) {
				inFleet(t, protocol, func(f *fleet) {
					is := is.New(f.t)
					first, err := f.chat(chat{text: "tell me about my repayment plan", stream: stream, tokens: 20})
					is.NoErr(err)
					is.Equal(first.status, http.StatusOK)
					words, whole := first.text()
					is.True(whole)
					is.True(strings.HasPrefix(words, "You said: tell me about my repayment plan"))
					token := first.header.Get("Harriernotch-Chat-Token")
					second, err := f.chat(chat{router: "router-2", text: "tell me about my repayment plan", stream: stream, tokens: 20, token: token})
					is.NoErr(err)
					is.Equal(second.header.Get("Harriernotch-Back-End"), first.header.Get("Harriernotch-Back-End"))
					is.True(strings.Contains(first.body, `"cached_tokens":0`))
					is.True(!strings.Contains(second.body, `"cached_tokens":0`)) // the cached context was used
				})
			})
		}
	}
}

func TestCallerDisconnectFreesEngine(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		ctx, cancel := context.WithCancel(f.t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { _, _ = f.chat(chat{ctx: ctx, text: "long", stream: true, tokens: 10000}) })
		f.advance(time.Second)
		is.Equal(f.load(), 1)
		cancel()
		f.advance(time.Second)
		is.Equal(f.load(), 0)
		wait.Wait()
	})
}

// load returns the sum of the loads that the engines' agents report for themselves.
func (f *fleet) load() int {
	total := 0
	for _, id := range []string{"engine-1", "engine-2"} {
		if node := f.nodes[id]; node != nil {
			for _, member := range node.status().Pools[0].Members {
				if member.ID == id {
					total += int(member.Load)
				}
			}
		}
	}
	return total
}

func TestSlowCallerAppliesBackpressureToEngine(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		const tokens = 20000
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addressOf("router-1", "callers")+"/v1/chat/completions", strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+tenantKey)
		response, err := f.client.Do(request)
		is.NoErr(err)
		defer response.Body.Close()
		f.advance(20 * time.Minute) // about six times what the stream would take
		is.Equal(f.load(), 1)       // the stream still runs, because the caller doesn't read
	})
}

func TestKilledAgentGivesCompleteAnswersOrClearErrors(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		var mutex sync.Mutex
		counts := map[string]int{}
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				text := fmt.Sprintf("caller number %d of the class", i)
				got, err := f.chat(chat{router: fmt.Sprint("router-", 1+i%2), text: text, stream: i%3 == 0, tokens: 30})
				mutex.Lock()
				defer mutex.Unlock()
				counts[classify(got, err, text)]++
			})
		}
		time.Sleep(1500 * time.Millisecond)
		f.kill("engine-1")
		wait.Wait()
		is.Equal(counts["unclear"], 0)
		is.True(counts["whole"] > 40)
		is.True(counts["broken"]+counts["unknown"] > 0) // the kill affected some calls
		f.t.Logf("%v", counts)
	})
}

// classify returns what a caller saw: "whole" for the complete answer to its own
// request, "broken" for a visibly truncated answer, the value of the header
// failure.HeaderRan for an error that has it, and "unclear" for everything else,
// which is a fault.
func classify(got answer, err error, text string) string {
	if err != nil {
		return "unclear"
	}
	if got.status != http.StatusOK {
		switch ran := got.header.Get(failure.HeaderRan); failure.Ran(ran) {
		case failure.RanNo, failure.RanUnknown, failure.RanYes:
			return ran
		}
		return "unclear"
	}
	words, whole := got.text()
	switch {
	case whole && strings.HasPrefix(words, "You said: "+text):
		return "whole"
	case !whole && got.readErr != nil:
		return "broken"
	}
	return "unclear"
}

func TestStopOfRouterOrAgentCutsNoRequest(t *testing.T) {
	for _, victim := range []string{"router-1", "engine-1"} {
		t.Run(victim, func(t *testing.T) {
			inFleet(t, hop.HTTP1, func(f *fleet) {
				is := is.New(f.t)
				var wait sync.WaitGroup
				var mutex sync.Mutex
				whole := 0
				for i := range 8 {
					wait.Go(func() {
						text := fmt.Sprintf("exam review %d", i)
						got, err := f.chat(chat{text: text, stream: true, tokens: 500})
						mutex.Lock()
						defer mutex.Unlock()
						if classify(got, err, text) == "whole" {
							whole++
						}
					})
				}
				f.advance(time.Second)
				node := f.nodes[victim]
				stopped := make(chan struct{})
				go func() {
					node.Stop(context.Background())
					close(stopped)
				}()
				synctest.Wait()
				is.True(!node.Ready()) // readiness fails at once
				if victim == "engine-1" {
					got, err := f.chat(chat{text: "new work", tokens: 5})
					is.NoErr(err)
					is.Equal(got.header.Get("Harriernotch-Back-End"), "engine-2")
				}
				wait.Wait()
				<-stopped
				delete(f.nodes, victim)
				is.Equal(whole, 8)
			})
		})
	}
}

// newIdempotencyKey returns a version 7 UUID from the clock of the synctest bubble.
// uuid.NewV7 isn't usable: its time never goes back, but every bubble starts at the
// same time.
func newIdempotencyKey() string {
	var key uuid.UUID
	millis := time.Now().UnixMilli()
	for i := range 6 {
		key[5-i] = byte(millis >> (8 * i))
	}
	key[6] = 0x70
	key[8] = 0x80
	return key.String()
}

func TestUnrepeatableCallRunsOnceViaTwoRouters(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		header := http.Header{"Idempotency-Key": {newIdempotencyKey()}}
		first, err := f.call(f.t.Context(), http.MethodPost, "router-1", "/loans/letters", "plan", header)
		is.NoErr(err)
		is.Equal(first.status, http.StatusOK)
		second, err := f.call(f.t.Context(), http.MethodPost, "router-2", "/loans/letters", "plan", header)
		is.NoErr(err)
		is.Equal(second.body, first.body)
		is.Equal(second.header.Get(hop.HeaderReplayed), "true")
		is.Equal(len(f.services["service-1"].Runs())+len(f.services["service-2"].Runs()), 1)
		other, err := f.call(f.t.Context(), http.MethodPost, "router-2", "/loans/letters", "another plan", header)
		is.NoErr(err)
		is.Equal(other.header.Get(failure.HeaderKind), failure.KeyReused.String())
		bad, err := f.call(f.t.Context(), http.MethodPost, "router-1", "/loans/letters", "plan", http.Header{"Idempotency-Key": {"mine"}})
		is.NoErr(err)
		is.Equal(bad.status, http.StatusBadRequest)
	})
}

func TestKeyedCallContinuesAfterCallerDisconnects(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		for _, service := range f.services {
			service.Delay = 5 * time.Second
		}
		header := http.Header{"Idempotency-Key": {newIdempotencyKey()}}
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		_, err := f.call(ctx, http.MethodPost, "router-1", "/loans/letters", "plan", header)
		is.True(err != nil) // the caller gave up
		early, err := f.call(f.t.Context(), http.MethodPost, "router-1", "/loans/letters", "plan", header)
		is.NoErr(err)
		is.Equal(early.header.Get(failure.HeaderKind), failure.KeyInProgress.String())
		f.advance(10 * time.Second)
		late, err := f.call(f.t.Context(), http.MethodPost, "router-2", "/loans/letters", "plan", header)
		is.NoErr(err)
		is.Equal(late.status, http.StatusOK)
		is.Equal(len(f.services["service-1"].Runs())+len(f.services["service-2"].Runs()), 1)
	})
}

// An engine ends keyed streams without their closing event. A call that repeats the
// key must get the error that the outcome is unknown, not the truncated stream.
func TestTruncatedStreamIsNeverReplayedAsComplete(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		cut := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", hop.EventStream)
			_, _ = w.Write([]byte("data: {}\n\n"))
		})
		for _, id := range []string{"engine-1", "engine-2"} {
			f.network.Close(addressOf(id, "back-end"))
			f.serveStandIn(id, cut)
		}
		c := chat{text: "verdict", stream: true, header: http.Header{"Idempotency-Key": {newIdempotencyKey()}, "Harriernotch-Repeatable": {"no"}}}
		first, err := f.chat(c)
		is.NoErr(err)
		is.True(first.readErr != nil) // the caller sees that the answer is truncated
		c.router = "router-2"
		again, err := f.chat(c)
		is.NoErr(err)
		is.Equal(again.header.Get(failure.HeaderKind), failure.OutcomeUnknown.String())
	})
}

func TestRestartedOwnerNeverRunsOldKey(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		header := http.Header{"Idempotency-Key": {newIdempotencyKey()}}
		first, err := f.call(f.t.Context(), http.MethodPost, "router-1", "/loans/letters", "plan", header)
		is.NoErr(err)
		owner := first.header.Get("Harriernotch-Back-End")
		f.kill(owner)
		away, err := f.call(f.t.Context(), http.MethodPost, "router-1", "/loans/letters", "plan", header)
		is.NoErr(err)
		is.Equal(away.header.Get(failure.HeaderKind), failure.OwnerAway.String())
		is.True(away.header.Get("Retry-After") != "")
		f.start(owner)
		f.advance(20 * time.Second)
		again, err := f.call(f.t.Context(), http.MethodPost, "router-2", "/loans/letters", "plan", header)
		is.NoErr(err)
		is.Equal(again.header.Get(failure.HeaderKind), failure.OutcomeUnknown.String())
		is.Equal(again.header.Get(failure.HeaderRan), string(failure.RanUnknown))
		time.Sleep(time.Millisecond) // the next key is a different one
		fresh, err := f.call(f.t.Context(), http.MethodPost, "router-2", "/loans/letters", "plan", http.Header{"Idempotency-Key": {newIdempotencyKey()}})
		is.NoErr(err)
		is.Equal(fresh.status, http.StatusOK)
		is.Equal(len(f.services["service-1"].Runs())+len(f.services["service-2"].Runs()), 2)
	})
}

func TestRequestWithoutClusterKeyIsRefused(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		for _, id := range []string{"engine-1", "router-1"} {
			for _, path := range []string{"/v1/chat/completions", "/control"} {
				request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+addressOf(id, "peers")+path, strings.NewReader("{}"))
				is.NoErr(err)
				response, err := f.client.Do(request)
				is.NoErr(err)
				_ = response.Body.Close()
				is.Equal(response.StatusCode, http.StatusForbidden)
			}
		}
		is.Equal(len(f.engines["engine-1"].Runs()), 0)
	})
}

func TestInvalidRequestsGetSpecificErrors(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		cases := []struct {
			path, body string
			header     http.Header
			kind       failure.Kind
		}{
			{"/v1/chat/completions", "junk", nil, failure.InvalidRequest},
			{"/v1/chat/completions", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, nil, failure.UnknownModel},
			{"/v1/chat/completions", `{"model":"m","messages":[]}`, nil, failure.InvalidRequest},
			{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, http.Header{"Harriernotch-Chat-Token": {"junk"}}, failure.InvalidRequest},
			{"/v1/chat/completions", `{}`, http.Header{"Harriernotch-Timeout": {"soon"}}, failure.InvalidRequest},
			{"/v1/chat/completions", `{}`, http.Header{"Harriernotch-Priority": {"vip"}}, failure.InvalidRequest},
			{"/v1/chat/completions", `{}`, http.Header{"Authorization": {"Bearer nobody"}}, failure.Unauthenticated},
			{"/nowhere", ``, nil, failure.UnknownRoute},
			{"/v1/chat/completions", strings.Repeat("x", 9<<20), nil, failure.TooLarge},
		}
		for _, c := range cases {
			is := is.New(f.t)
			got, err := f.call(f.t.Context(), http.MethodPost, "router-1", c.path, c.body, c.header)
			is.NoErr(err)
			is.Equal(got.header.Get(failure.HeaderKind), c.kind.String())
			is.Equal(got.status, c.kind.Answer().Status)
			is.Equal(got.header.Get(failure.HeaderRan), string(failure.RanNo))
		}
	})
}

func (f *fleet) bundleCounts() map[uint64]int {
	counts := map[uint64]int{}
	for _, node := range f.nodes {
		counts[node.status().Bundle]++
	}
	return counts
}

func TestTrustedBundlesReachAllNodesAndUntrustedNone(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		untrustedKey := ed25519.NewKeyFromSeed([]byte(strings.Repeat("s", ed25519.SeedSize)))
		f.publish(2, untrustedKey, f.bundleText(""))
		f.advance(17 * time.Second)
		is.Equal(f.bundleCounts(), map[uint64]int{1: 6})
		f.publish(3, signingKey, f.bundleText("affinity_wait = \"100ms\"\n"))
		f.advance(2 * time.Second)
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		f.advance(15 * time.Second)
		is.Equal(f.bundleCounts(), map[uint64]int{3: 6})
		f.kill("engine-2")
		f.kill("router-2")
		f.start("engine-2") // the platform is still down: they get the bundle from peers
		f.start("router-2")
		f.advance(17 * time.Second)
		is.Equal(f.bundleCounts(), map[uint64]int{3: 6})
		is.True(f.nodes["engine-2"].Ready())
		is.True(f.nodes["router-2"].Ready())
	})
}

func TestDeadlineExpiryIsReportedAtOnce(t *testing.T) {
	inFleet(t, hop.HTTP1, func(f *fleet) {
		is := is.New(f.t)
		for _, service := range f.services {
			service.Delay = time.Minute
		}
		started := time.Now()
		got, err := f.call(f.t.Context(), http.MethodPost, "router-1", "/loans/letters", "plan", http.Header{"Harriernotch-Timeout": {"3s"}})
		is.NoErr(err)
		is.Equal(time.Since(started).Round(time.Second), 3*time.Second)
		is.Equal(got.header.Get(failure.HeaderKind), failure.BackendFailed.String())
		is.Equal(got.header.Get(failure.HeaderRan), string(failure.RanUnknown))
		f.advance(2 * time.Minute) // until the plain service has completed the call
	})
}
