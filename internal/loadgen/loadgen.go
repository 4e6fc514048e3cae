// Package loadgen sends the turns of chats to a fleet and checks every answer: it must be
// whole and the caller's own, or an error that states whether the request ran.
package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/router/routerhttp"
)

// Config configures a run.
type Config struct {
	// Targets are the base URLs of routers; they must be on loopback.
	Targets []string
	// Key is the tenant's bearer key.
	Key string
	// Model is the requested model.
	Model string
	// Rate is the number of turns started per second.
	Rate float64
	// Chats is the number of chats that take turns.
	Chats int
	// Duration is the time during which turns are started.
	Duration time.Duration
	// StreamEvery makes every StreamEvery-th turn request a stream; 0 requests none.
	StreamEvery int
	// MaxTokens is the requested limit of an answer's length.
	MaxTokens int
}

// Result counts the answers that the callers got.
type Result struct {
	// Whole counts the answers that were whole and the caller's own.
	Whole int
	// Broken counts the answers that began and were visibly cut off.
	Broken int
	// Failed counts the errors that state whether the request ran, by their kind and by
	// what they state.
	Failed map[string]int
	// Unclear counts the faults: answers that belong to another request or are too short
	// but seem whole, errors that don't state whether the request ran, and requests
	// without a response.
	Unclear int
	// Returning counts the turns with a chat token, Reused those of them whose answer was
	// whole and reported cached tokens.
	Returning int
	Reused    int
	// FirstByte is the time until the response headers of whole answers, in µs.
	FirstByte *hdrhistogram.Histogram
	// Examples are a few of the unclear answers.
	Examples []string
}

// maxExamples is the number of unclear answers that are kept as examples.
const maxExamples = 5

// CheckTargets returns an error if a target isn't on loopback.
func CheckTargets(targets []string) error {
	for _, target := range targets {
		parsed, err := url.Parse(target)
		if err != nil {
			return failure.Wrap(failure.InvalidRequest, err, "--target must be a URL such as http://127.0.0.1:18080")
		}
		address, err := netip.ParseAddrPort(parsed.Host)
		if err != nil || !address.Addr().IsLoopback() {
			return failure.New(failure.InvalidRequest, "--target must be on loopback, such as http://127.0.0.1:18080")
		}
	}
	return nil
}

// generator is one run of the load generator.
type generator struct {
	config Config
	client *http.Client

	mutex  sync.Mutex
	result Result
	chats  []chatState
}

// chatState is the state of one chat.
type chatState struct {
	busy     bool
	token    string
	messages []message
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Run starts turns at the rate until the duration or the context ends, and waits for their
// answers. It starts none while every chat has a turn in flight. The end of the context
// also cancels the turns in flight.
func Run(ctx context.Context, config Config) Result {
	const highestMicros = int64(10 * time.Minute / time.Microsecond)
	g := &generator{
		config: config,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: config.Chats}},
		result: Result{Failed: map[string]int{}, FirstByte: hdrhistogram.New(1, highestMicros, 2)},
		chats:  make([]chatState, config.Chats),
	}
	turns := pool.New().WithMaxGoroutines(config.Chats)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / config.Rate))
	defer ticker.Stop()
	end := time.After(config.Duration)
	for turn := 0; ; turn++ {
		select {
		case <-ticker.C:
			turns.Go(func() { g.turn(ctx, turn) })
			continue
		case <-end:
		case <-ctx.Done():
		}
		break
	}
	turns.Wait()
	return g.result
}

// reserveChat marks a chat without a turn in flight as busy and returns its index and state.
// The index is -1 if there is none.
func (g *generator) reserveChat(turn int) (int, chatState) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for offset := range g.chats {
		index := (turn + offset) % len(g.chats)
		if !g.chats[index].busy {
			g.chats[index].busy = true
			return index, g.chats[index]
		}
	}
	return -1, chatState{}
}

func (g *generator) turn(ctx context.Context, turn int) {
	index, chat := g.reserveChat(turn)
	if index < 0 {
		return
	}
	prompt := fmt.Sprintf("chat %d turn %d", index, turn)
	messages := append(chat.messages, message{Role: "user", Content: prompt})
	stream := g.config.StreamEvery > 0 && turn%g.config.StreamEvery == 0
	got := g.sendTurn(ctx, g.config.Targets[turn%len(g.config.Targets)], chat.token, messages, stream)
	g.recordTurn(index, chat, messages, prompt, got)
}

// answer is the response to one turn, or the error.
type answer struct {
	err       error
	status    int
	header    http.Header
	text      string
	complete  bool
	cached    int
	firstByte time.Duration
}

// chatBody is the JSON body of a request.
type chatBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

func (g *generator) sendTurn(ctx context.Context, target, token string, messages []message, stream bool) answer {
	body, err := json.Marshal(chatBody{Model: g.config.Model, Stream: stream, MaxTokens: g.config.MaxTokens, Messages: messages})
	if err != nil {
		return answer{err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+g.config.Key)
	if token != "" {
		request.Header.Set(routerhttp.HeaderChatToken, token)
	}
	startedAt := time.Now()
	response, err := g.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode, header: response.Header, firstByte: time.Since(startedAt)}
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return got
	}
	if stream {
		got.readStream(response.Body)
	} else {
		got.readBody(response.Body)
	}
	return got
}

// completion is a whole answer or one event of a stream.
type completion struct {
	Choices []struct {
		Message *message `json:"message"`
		Delta   *message `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (a *answer) add(part completion) {
	for _, choice := range part.Choices {
		if choice.Message != nil {
			a.text += choice.Message.Content
		}
		if choice.Delta != nil {
			a.text += choice.Delta.Content
		}
	}
	if part.Usage != nil {
		a.cached = part.Usage.PromptTokensDetails.CachedTokens
	}
}

func (a *answer) readBody(body io.Reader) {
	var part completion
	a.err = json.NewDecoder(body).Decode(&part)
	a.complete = a.err == nil
	a.add(part)
}

func (a *answer) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		raw, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if raw == "[DONE]" {
			a.complete = true
			break
		}
		var part completion
		if json.Unmarshal([]byte(raw), &part) == nil {
			a.add(part)
		}
	}
	a.err = scanner.Err()
}

// recordTurn counts the answer to a turn and makes the chat available again.
func (g *generator) recordTurn(index int, chat chatState, messages []message, prompt string, got answer) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.chats[index].busy = false
	if chat.token != "" {
		g.result.Returning++
	}
	own := strings.HasPrefix(got.text, "You said: "+prompt)
	switch {
	case got.status == http.StatusOK && got.complete && own:
		g.result.Whole++
		_ = g.result.FirstByte.RecordValue(got.firstByte.Microseconds())
		if chat.token != "" && got.cached > 0 {
			g.result.Reused++
		}
		g.chats[index].token = got.header.Get(routerhttp.HeaderChatToken)
		g.chats[index].messages = append(messages, message{Role: "assistant", Content: got.text})
	case got.status == http.StatusOK && !got.complete:
		g.result.Broken++
	case got.status != 0 && got.status != http.StatusOK && got.header.Get(failure.HeaderRan) != "":
		g.result.Failed[got.header.Get(failure.HeaderKind)+" ran="+got.header.Get(failure.HeaderRan)]++
	default:
		g.result.Unclear++
		if len(g.result.Examples) < maxExamples {
			g.result.Examples = append(g.result.Examples, fmt.Sprintf("%q got %d %q %v", prompt, got.status, got.text, got.err))
		}
	}
}
