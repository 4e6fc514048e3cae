package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func call(t *testing.T, handler http.Handler, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func chat(stream bool, text string) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, stream, text)
}

func TestEngineReportsPrefixCacheEvents(t *testing.T) {
	is := is.New(t)
	engine := NewEngine(EngineConfig{DecodeStep: time.Microsecond, CachedPrefixes: 1})
	handler := engine.Handler()
	cached := func(text string) int {
		var answer chatResponse
		is.NoErr(json.NewDecoder(call(t, handler, "POST", "/v1/chat/completions", chat(false, text)).Body).Decode(&answer))
		return answer.Usage.PromptTokensDetails.CachedTokens
	}
	is.Equal(cached("a long question"), 0)
	is.True(cached("a long question") > 0)
	is.Equal(cached("another question"), 0)
	is.Equal(cached("a long question"), 0) // the cache holds one prefix
	var events []CacheEvent
	is.NoErr(json.NewDecoder(call(t, handler, "GET", "/cache/events?after=0", "").Body).Decode(&events))
	is.Equal(len(events), 5) // three stored, two evicted
	exported := call(t, handler, "GET", fmt.Sprintf("/kv/%d", events[3].Prefix), "")
	is.Equal(exported.Code, http.StatusNotFound) // it was evicted
}

func TestEngineExportsAndImportsKVBlocks(t *testing.T) {
	is := is.New(t)
	from := NewEngine(EngineConfig{DecodeStep: time.Microsecond})
	to := NewEngine(EngineConfig{DecodeStep: time.Microsecond})
	call(t, from.Handler(), "POST", "/v1/chat/completions", chat(false, "a long question"))
	path := fmt.Sprintf("/kv/%d", from.events[0].Prefix)
	block := call(t, from.Handler(), "GET", path, "")
	is.Equal(call(t, to.Handler(), "PUT", path, block.Body.String()).Code, http.StatusNoContent)
	answer := call(t, to.Handler(), "POST", "/v1/chat/completions", chat(false, "a long question"))
	is.True(!bytes.Contains(answer.Body.Bytes(), []byte(`"cached_tokens":0`)))
}

func TestEngineResumesStream(t *testing.T) {
	is := is.New(t)
	handler := NewEngine(EngineConfig{DecodeStep: time.Microsecond}).Handler()
	whole := call(t, handler, "POST", "/v1/chat/completions", chat(true, "a question"))
	id := whole.Header().Get("X-Stream-Id")
	rest, err := io.ReadAll(call(t, handler, "GET", "/v1/streams/"+id+"?from=2", "").Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(whole.Body.String(), string(rest)))
	is.True(strings.HasPrefix(string(rest), "id: 2\n"))
}

func TestEngineRejectsOrderWithOlderEpoch(t *testing.T) {
	is := is.New(t)
	engine := NewEngine(EngineConfig{Models: []string{"m"}})
	is.Equal(call(t, engine.Handler(), "POST", "/orders", `{"epoch":5,"load_models":["n"]}`).Code, http.StatusNoContent)
	is.Equal(call(t, engine.Handler(), "POST", "/orders", `{"epoch":4,"load_models":["m"]}`).Code, http.StatusConflict)
	models, epoch := engine.Loaded()
	is.Equal(models, []string{"n"})
	is.Equal(epoch, uint64(5))
}
