package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventstream"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// discardLog returns a logger that discards the servers' messages about broken connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// caller sends one request after another and reports the replies to the checker. It reuses its
// connections.
type caller struct {
	fleet  *fleet
	number int
	random *rand.Rand
	client *http.Client
	count  int
}

const (
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 150 * time.Millisecond
	// callerGrace is how long a caller waits for the answer beyond its request's timeout.
	callerGrace = 2 * time.Second
	// prompts is the number of different shared prompt prefixes.
	prompts = 12
)

func newCaller(f *fleet, number int) *caller {
	return &caller{
		fleet: f, number: number, random: rand.New(rand.NewPCG(f.options.Seed, uint64(number)+1)),
		client: &http.Client{Transport: &http.Transport{DialContext: f.environment.Dial, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		// The end of the run doesn't cancel a request that has been sent.
		c.call(context.WithoutCancel(ctx))
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
	}
}

// call sends a random request and reports the reply to the checker.
func (c *caller) call(ctx context.Context) {
	g := c.chooseGateway()
	sent := sentRequest{
		request: c.nextRequest(), gateway: g.id,
		prefix: c.choosePrefix(), key: keys[c.random.IntN(len(keys))], at: time.Now(),
	}
	sent.stream = sent.request
	if isStream(sent.prefix) {
		sent.parts = []string{fmt.Sprintf("%x", 1+c.random.IntN(prompts))}
	}
	got := c.sendChecked(ctx, g, sent)
	if got.unread {
		got = c.tryElsewhere(ctx, sent, got)
	}
	if sent.prefix == prefixResumable {
		c.takeUp(ctx, sent, got)
	}
}

// nextRequest returns the ID of the next request.
func (c *caller) nextRequest() string {
	c.count++
	return fmt.Sprintf("c%d-%d", c.number, c.count)
}

// sendChecked sends a request and reports it and its reply to the checker.
func (c *caller) sendChecked(ctx context.Context, g *gatewayState, sent sentRequest) reply {
	c.fleet.check.sent(sent)
	got := c.send(ctx, g, sent)
	got.at = time.Now()
	c.fleet.check.received(sent, got)
	return got
}

func (c *caller) choosePrefix() string {
	prefixes := []string{prefixOnce, prefixRepeat, prefixResumable, prefixStream, prefixSpare}
	return prefixes[c.random.IntN(len(prefixes))]
}

func (c *caller) send(ctx context.Context, g *gatewayState, sent sentRequest) reply {
	method := http.MethodPost
	if sent.prefix == prefixRepeat {
		method = http.MethodGet
	}
	return c.sendTo(ctx, g, sent, method, sent.prefix+sent.stream)
}

// sendTo sends a request with the method and path and reads its answer.
func (c *caller) sendTo(ctx context.Context, g *gatewayState, sent sentRequest, method, path string) reply {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout+callerGrace)
	defer cancel()
	watch := newPatience(c.fleet.options.patience(), isStream(sent.prefix), cancel)
	defer watch.stop()
	var read readWatch
	request, err := http.NewRequestWithContext(read.trace(ctx), method, "http://"+g.callers+path, strings.NewReader(bodyOf(cmp.Or(sent.stream, sent.request), method)))
	if err != nil {
		return reply{cause: err.Error()}
	}
	if method == http.MethodGet {
		request.Body, request.ContentLength, request.GetBody = nil, 0, nil
	}
	request.Host = host
	stated := wire.CallerRequest{Request: sent.request, Key: sent.key, Timeout: sent.timeout(), Parts: sent.parts}
	if sent.events > 0 {
		stated.Resumes, stated.LastEvent = sent.stream, strconv.Itoa(sent.events)
	}
	if c.fleet.options.Backups && len(sent.parts) > 0 {
		stated.PromptTokens, stated.OutputTokens = promptTokens, outputTokens
	}
	c.fleet.environment.Protocol().WriteCallerRequest(request.Header, stated)
	response, err := c.client.Do(request)
	if err != nil {
		return reply{cause: err.Error(), timedOut: ctx.Err() != nil && !watch.left(), left: watch.left(), unread: !read.written.Load()}
	}
	defer response.Body.Close()
	got := reply{
		status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"),
		stamp: c.fleet.environment.Protocol().ReadStamp(response.Header),
	}
	if isStream(sent.prefix) && response.StatusCode == http.StatusOK {
		err = got.readEvents(response.Body, sent, watch)
	} else {
		var text []byte
		text, err = io.ReadAll(response.Body)
		got.body = string(text)
	}
	got.whole = err == nil
	if err != nil {
		got.cause, got.left = err.Error(), watch.left()
	}
	return got
}

// readEvents reads a stream to its end. It records the number of events that the caller then has, the
// versions that wrote them, and the first event that wasn't the expected next one. Each event renews the
// caller's patience.
func (r *reply) readEvents(body io.Reader, sent sentRequest, watch *patience) error {
	r.events = sent.events
	reader := eventstream.NewReader(bufio.NewReader(body))
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		watch.renew()
		r.events++
		raw := string(event.Raw)
		_, version, _ := strings.Cut(strings.TrimSpace(raw), versionMark)
		if !slices.Contains(r.versions, version) {
			r.versions = append(r.versions, version)
		}
		if want := eventOf(sent.stream, r.events, version); raw != want && r.orderError == "" {
			r.orderError = fmt.Sprintf("event %d is %q", r.events, raw)
		}
	}
}
