package daemon

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/objectstore"
	"github.com/harriernotch/harriernotch/internal/pipenet"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/standin"
)

const (
	tenantKey  = "secret-of-the-school"
	clusterKey = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)

var signingKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))

func publicKey() ed25519.PublicKey { return signingKey.Public().(ed25519.PublicKey) }

// fleet is two routers, and two engines and two plain services with their agents.
// The routers and agents are complete nodes on an in-memory network.
type fleet struct {
	t        *testing.T
	network  *pipenet.Network
	store    *standin.Platform
	nodes    map[string]*Node
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	client   *http.Client
	protocol hop.Protocol
}

// inFleet starts a fleet in a synctest bubble, waits until it is ready, runs the test
// and kills the fleet.
func inFleet(t *testing.T, protocol hop.Protocol, test func(f *fleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, network: pipenet.New(), store: standin.NewPlatform(), protocol: protocol,
			nodes: map[string]*Node{}, engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
		}
		f.client = &http.Client{Transport: &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}}
		f.publish(1, signingKey, f.bundleText(""))
		for _, id := range []string{"engine-1", "engine-2"} {
			f.engines[id] = standin.NewEngine(standin.EngineConfig{Models: []string{"m"}, DecodeStep: 10 * time.Millisecond})
			f.serveStandIn(id, f.engines[id].Handler())
		}
		for _, id := range []string{"service-1", "service-2"} {
			f.services[id] = &standin.Service{Delay: 50 * time.Millisecond}
			f.serveStandIn(id, f.services[id])
		}
		for _, id := range []string{"router-1", "router-2", "engine-1", "engine-2", "service-1", "service-2"} {
			f.start(id)
		}
		f.advance(10 * time.Second)
		for id, node := range f.nodes {
			if !node.Ready() {
				t.Fatalf("%s is not ready: %+v", id, node.status())
			}
		}
		test(f)
		f.stopAll()
	})
}

// bundleText returns the fleet's bundle document; extra is added to the engine pool.
func (f *fleet) bundleText(extra string) string {
	text := "format = 1\n[[tenants]]\nname = \"school\"\nkey_sha256 = [\"" + bundle.HashKey(tenantKey) + "\"]\n"
	text += "[[pools]]\nname = \"model\"\nkind = \"engine\"\nmodels = [\"m\"]\nload_multiple = 2.0\n" + extra
	text += backEndText("engine-1") + backEndText("engine-2")
	text += "[[pools]]\nname = \"loans\"\nkind = \"service\"\npath_prefix = \"/loans/\"\n"
	return text + backEndText("service-1") + backEndText("service-2")
}

func backEndText(id string) string {
	return fmt.Sprintf("[[pools.back_ends]]\nid = %q\nagent = %q\nzone = \"a\"\n", id, addressOf(id, "peers"))
}

// addressOf returns the address of a listener; each has its own.
func addressOf(id, listener string) string {
	names := map[string]int{"router-1": 1, "router-2": 2, "engine-1": 3, "engine-2": 4, "service-1": 5, "service-2": 6}
	ports := map[string]int{"callers": 1, "peers": 2, "admin": 3, "back-end": 4}
	return fmt.Sprintf("10.0.0.%d:%d", names[id], ports[listener])
}

func (f *fleet) publish(number uint64, key ed25519.PrivateKey, text string) {
	f.t.Helper()
	header := bundle.Header{Number: number, Identifier: fmt.Sprint("id-", number), SignedAtMillis: time.Now().UnixMilli()}
	raw, err := bundle.Sign(header, []byte(text), key)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.SetFaults(standin.PlatformFaults{})
	current, err := f.store.Get(f.t.Context(), objectstore.BundleKey)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Put(f.t.Context(), objectstore.BundleKey, raw, current.Version); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) serveStandIn(id string, handler http.Handler) {
	listener, err := f.network.Listen("pipe", addressOf(id, "back-end"))
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *fleet) start(id string) {
	f.t.Helper()
	role, rest := "agent", fmt.Sprintf("[agent]\nback_end = \"http://%s\"\n", addressOf(id, "back-end"))
	callers := ""
	if strings.HasPrefix(id, "router") {
		role, rest = "router", ""
		callers = fmt.Sprintf("callers = %q\n", addressOf(id, "callers"))
	}
	text := fmt.Sprintf("role = %q\nid = %q\nzone = \"a\"\ncluster_key = %q\ntrusted_keys = [%q]\nseeds = [%q, %q]\nhop_protocol = %q\ndrain_delay = \"1s\"\n",
		role, id, clusterKey, base64.StdEncoding.EncodeToString(publicKey()), addressOf("router-1", "peers"), addressOf("router-2", "peers"), f.protocol)
	text += fmt.Sprintf("[listen]\n%speers = %q\nadmin = %q\n", callers, addressOf(id, "peers"), addressOf(id, "admin")) + rest
	parsed, err := settings.Parse(id, []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := Start(parsed, Environment{Listen: f.network.Listen, Dial: f.network.Dial, Platform: f.store, Log: log})
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[id] = node
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func (f *fleet) advance(span time.Duration) {
	time.Sleep(span)
	synctest.Wait()
}

func (f *fleet) kill(id string) {
	f.nodes[id].Kill()
	delete(f.nodes, id)
}

func (f *fleet) stopAll() {
	f.client.CloseIdleConnections()
	for _, node := range f.nodes {
		node.Kill()
	}
	f.advance(time.Second) // the server closes a refused upload after a pause
}

// chat is a request for one turn of a chat.
type chat struct {
	router string
	text   string
	stream bool
	tokens int
	token  string
	header http.Header
	ctx    context.Context
}

// answer is what a caller received; readErr is the error of reading the body.
type answer struct {
	status  int
	header  http.Header
	body    string
	readErr error
}

func (f *fleet) call(ctx context.Context, method, router, path, body string, header http.Header) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addressOf(router, "callers")+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := f.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	raw, readErr := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(raw), readErr: readErr}, nil
}

func (f *fleet) chat(c chat) (answer, error) {
	if c.router == "" {
		c.router = "router-1"
	}
	if c.ctx == nil {
		c.ctx = f.t.Context()
	}
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.stream, c.tokens, c.text)
	header := c.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if c.token != "" {
		header.Set("Harriernotch-Chat-Token", c.token)
	}
	return f.call(c.ctx, http.MethodPost, c.router, "/v1/chat/completions", body, header)
}

// text returns the text of a plain or streamed answer. ok is false if the answer is
// incomplete.
func (a answer) text() (words string, ok bool) {
	type choice struct {
		Message *struct{ Content string } `json:"message"`
		Delta   *struct{ Content string } `json:"delta"`
	}
	type piece struct{ Choices []choice }
	if !strings.Contains(a.body, "data: ") {
		var whole piece
		if json.Unmarshal([]byte(a.body), &whole) != nil || len(whole.Choices) != 1 {
			return "", false
		}
		return whole.Choices[0].Message.Content, a.readErr == nil
	}
	for line := range strings.Lines(a.body) {
		raw, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if raw == "[DONE]" {
			return words, a.readErr == nil
		}
		var part piece
		if json.Unmarshal([]byte(raw), &part) != nil {
			return "", false
		}
		for _, c := range part.Choices {
			words += c.Delta.Content
		}
	}
	return words, false
}
