package daemon

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/standin"
)

// benchFleet is one router, one agent and one back end, connected by TCP on loopback. It
// holds the base URLs of the router and of the back end.
type benchFleet struct {
	router, backEnd string
}

const benchChat = `{"model":"m","stream":%v,"messages":[{"role":"user","content":"please look at line 7 of my exercise"}]}`

func startBenchFleet(b *testing.B, protocol hop.Protocol, handler http.Handler) benchFleet {
	b.Helper()
	TuneGC()
	backEnd := httptest.NewServer(handler)
	b.Cleanup(backEnd.Close)
	store := standin.NewPlatform()
	peers := []string{freePort(b), freePort(b)}
	text := "format = 1\n[[tenants]]\nname = \"school\"\nkey_sha256 = [\"" + bundle.HashKey(tenantKey) + "\"]\n" +
		"[[pools]]\nname = \"model\"\nkind = \"engine\"\nmodels = [\"m\"]\nmax_running = 4000\n" +
		fmt.Sprintf("[[pools.back_ends]]\nid = \"engine-1\"\nagent = %q\nzone = \"a\"\n", peers[1])
	raw, err := bundle.Sign(bundle.Header{Number: 1, Identifier: "x"}, []byte(text), signingKey)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := store.Put(context.Background(), "harriernotch/bundle", raw, 0); err != nil {
		b.Fatal(err)
	}
	common := fmt.Sprintf("zone = \"a\"\ncluster_key = %q\ntrusted_keys = [%q]\nhop_protocol = %q\nseeds = [%q]\n",
		clusterKey, base64.StdEncoding.EncodeToString(publicKey()), protocol, peers[0])
	router := startBenchNode(b, store, common+fmt.Sprintf("role = \"router\"\nid = \"router-1\"\n[listen]\ncallers = \"127.0.0.1:0\"\npeers = %q\nadmin = \"127.0.0.1:0\"\n", peers[0]))
	agent := startBenchNode(b, store, common+fmt.Sprintf("role = \"agent\"\nid = \"engine-1\"\n[listen]\npeers = %q\nadmin = \"127.0.0.1:0\"\n[agent]\nback_end = %q\n", peers[1], backEnd.URL))
	for !router.Ready() || !agent.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return benchFleet{router: "http://" + router.CallersAddress(), backEnd: backEnd.URL}
}

func freePort(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startBenchNode(b *testing.B, store *standin.Platform, text string) *Node {
	parsed, err := settings.Parse("bench", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := Start(parsed, Environment{Platform: store, Log: log})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(node.Kill)
	return node
}

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

func post(client *http.Client, url, body string) error {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return fmt.Errorf("%d: %s", response.StatusCode, raw)
	}
	return err
}

// measure runs work and reports the CPU time and the allocations of the whole process
// per unit: client, nodes and back end together. The cost of the two hops is the
// difference from the direct case.
func measure(b *testing.B, unit string, units int, work func()) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := processorTime(b)
	work()
	used = processorTime(b) - used
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(used.Microseconds())/float64(units), "cpu-µs/"+unit)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(units), "allocs/"+unit)
}

const benchWorkers = 16

// runAllPaths runs a benchmark against the back end directly, and through router and
// agent with each hop protocol.
func runAllPaths(b *testing.B, handler http.Handler, run func(b *testing.B, url string)) {
	b.Run("direct", func(b *testing.B) {
		run(b, startBenchFleet(b, hop.HTTP1, handler).backEnd)
	})
	for _, protocol := range []hop.Protocol{hop.HTTP1, hop.HTTP2} {
		b.Run(string(protocol), func(b *testing.B) {
			run(b, startBenchFleet(b, protocol, handler).router)
		})
	}
}

// BenchmarkRequest measures chats that aren't streamed.
func BenchmarkRequest(b *testing.B) {
	answer := bytes.Repeat([]byte("x"), 400)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})
	run := func(b *testing.B, url string) {
		client := benchClient()
		body := fmt.Sprintf(benchChat, false)
		measure(b, "request", b.N, func() {
			var wait sync.WaitGroup
			for worker := range benchWorkers {
				wait.Go(func() {
					for i := worker; i < b.N; i += benchWorkers {
						if err := post(client, url, body); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wait.Wait()
		})
	}
	runAllPaths(b, handler, run)
}

// BenchmarkEvent measures streamed events. They are paced as by an engine, so that
// they aren't batched more than they would be in production.
func BenchmarkEvent(b *testing.B) {
	const streams, events = 256, 200
	event := []byte(`data: {"id":"chatcmpl-1","choices":[{"index":0,"delta":{"content":" word"}}]}` + "\n\n")
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", hop.EventStream)
		controller := http.NewResponseController(w)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for range events {
			<-ticker.C
			_, _ = w.Write(event)
			_ = controller.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	run := func(b *testing.B, url string) {
		client := benchClient()
		body := fmt.Sprintf(benchChat, true)
		for b.Loop() {
			measure(b, "event", streams*events, func() {
				var wait sync.WaitGroup
				for range streams {
					wait.Go(func() {
						if err := post(client, url, body); err != nil {
							b.Error(err)
						}
					})
				}
				wait.Wait()
			})
		}
	}
	runAllPaths(b, handler, run)
}
