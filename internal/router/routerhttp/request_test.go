package routerhttp

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/routing"
)

const document = `format = 1
[[tenants]]
name = "t"
key_sha256 = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
[[pools]]
name = "model"
kind = "engine"
models = ["m"]
[[pools.back_ends]]
id = "e1"
agent = "10.0.0.1:7300"
zone = "z"
`

func content(t testing.TB) *bundle.Content {
	t.Helper()
	parsed, err := bundle.Parse("f", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

var limits = TimeoutLimits{Default: time.Minute, Max: time.Hour}

func TestChatKeyIsSameForAllTurns(t *testing.T) {
	is := is.New(t)
	key := func(tenant, body string) string {
		p := &callerRequest{body: []byte(body)}
		p.Tenant = tenant
		is.NoErr(p.parseChat(content(t), http.Header{}, routing.NewTokenSealer(nil)))
		return p.ChatKey
	}
	first := key("t", `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`)
	second := key("t", `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`)
	is.Equal(first, second)
	is.True(first != key("other", `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`))
	is.True(first != key("t", `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"x"}]}`))
}

func TestKeyMustBeAUUIDOfVersion7(t *testing.T) {
	is := is.New(t)
	parse := func(key string) (*callerRequest, error) {
		p := &callerRequest{}
		return p, p.parseKey(http.Header{HeaderIdempotencyKey: {key}}, true, "/loans/")
	}
	for _, bad := range []string{"x", uuid.NewString()} {
		_, err := parse(bad)
		is.Equal(failure.KindOf(err), failure.InvalidRequest)
	}
	now := time.Now()
	p, err := parse(uuid.Must(uuid.NewV7()).String())
	is.NoErr(err)
	is.True(p.KeyIssued.Sub(now).Abs() < time.Minute) // the time of issue is read from the key
}

func FuzzRequestHead(f *testing.F) {
	f.Add("batch", "30s", "no", "0190b5d2-3a4c-7def-8123-456789abcdef", "token", `{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	f.Add("", "", "", "", "", "{}")
	parsedContent := content(f)
	sealer := routing.NewTokenSealer([]byte("key"))
	f.Fuzz(func(t *testing.T, priority, timeout, repeatable, key, token, body string) {
		header := http.Header{
			HeaderPriority: {priority}, HeaderTimeout: {timeout}, HeaderRepeatable: {repeatable},
			HeaderIdempotencyKey: {key}, HeaderChatToken: {token},
		}
		now := time.Unix(1_800_000_000, 0)
		p := &callerRequest{body: []byte(body)}
		if err := p.parseHeaders(now, header, limits); err == nil && (!p.Deadline.After(now) || p.Deadline.Sub(now) > limits.Max) {
			t.Fatal("a deadline out of range was accepted")
		}
		if err := p.parseChat(parsedContent, header, sealer); err == nil && p.Pool != "model" {
			t.Fatal("a chat without a pool was accepted")
		}
		if err := p.parseKey(header, true, "/p/"); err == nil && key != "" && repeatable != "yes" && p.Key == "" {
			t.Fatal("a valid key was ignored")
		}
	})
}
