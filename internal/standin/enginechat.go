package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest holds the fields of the chat API's request that the engine reads.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

// Usage holds the token counts of an answer in the chat API's format.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails holds the number of cached prompt tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// chatChoice is one answer, or one part of it in a stream.
type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatResponse is an answer, or one event of a stream.
type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// engineStream keeps the events of a stream so that the stream can be resumed.
type engineStream struct {
	mutex   sync.Mutex
	events  []string
	done    bool
	changed chan struct{}
	cancel  context.CancelFunc
}

func (s *engineStream) append(event string, done bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, event)
	s.done = done
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *engineStream) from(offset int) (events []string, done bool, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if offset < len(s.events) {
		events = s.events[offset:]
	}
	return events, s.done, s.changed
}

const defaultMaxTokens = 16

// replyWords returns the words of the engine's answer, one for each token. They repeat the last
// message, so that an answer to another request is detected, and are padded with numbered words or
// truncated to max_tokens.
func replyWords(request chatRequest) []string {
	last := ""
	if count := len(request.Messages); count > 0 {
		last = request.Messages[count-1].Content
	}
	words := append([]string{"You", "said:"}, strings.Fields(last)...)
	for len(words) < request.MaxTokens {
		words = append(words, fmt.Sprintf("word%d", len(words)))
	}
	return words[:request.MaxTokens]
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if err := e.acquire(r.Context(), priority); err != nil {
		return
	}
	defer e.release()
	e.mutex.Lock()
	e.runs = append(e.runs, Run{RequestID: r.Header.Get(HeaderRequestID)})
	e.mutex.Unlock()
	prompt, cached := e.lookUp(request.Messages)
	if !pause(r.Context(), time.Duration(prompt-cached)*e.config.PrefillPerToken) {
		return
	}
	usage := &Usage{PromptTokens: prompt, CompletionTokens: request.MaxTokens, TotalTokens: prompt + request.MaxTokens}
	usage.PromptTokensDetails.CachedTokens = cached
	answer := chatResponse{ID: "chatcmpl-" + uuid.NewString(), Created: time.Now().Unix(), Model: request.Model}
	if request.Stream {
		e.stream(w, r, request, answer, usage)
		return
	}
	e.answerWhole(w, r, request, answer, usage)
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, request chatRequest, answer chatResponse, usage *Usage) {
	words := replyWords(request)
	for range words {
		if !pause(r.Context(), e.stepTime()) {
			return
		}
	}
	stop := "stop"
	answer.Object = "chat.completion"
	answer.Usage = usage
	answer.Choices = []chatChoice{{Message: &chatMessage{Role: "assistant", Content: strings.Join(words, " ")}, FinishReason: &stop}}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// stream sends one event for each token, followed by the usage and [DONE].
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request chatRequest, answer chatResponse, usage *Usage) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	kept := &engineStream{changed: make(chan struct{}), cancel: cancel}
	e.mutex.Lock()
	e.streams[answer.ID] = kept
	e.mutex.Unlock()
	time.AfterFunc(streamRetention, func() { e.dropStream(answer.ID) })
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Stream-Id", answer.ID)
	flusher := http.NewResponseController(w)
	answer.Object = "chat.completion.chunk"
	send := func(event string, done bool) {
		kept.append(event, done)
		_, _ = fmt.Fprint(w, event)
		_ = flusher.Flush()
	}
	for i, word := range replyWords(request) {
		if !pause(ctx, e.stepTime()) {
			return
		}
		if i > 0 {
			word = " " + word
		}
		answer.Choices = []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: word}}}
		send(encodeEvent(i, answer), false)
	}
	answer.Choices = []chatChoice{}
	answer.Usage = usage
	send(encodeEvent(request.MaxTokens, answer), false)
	send("data: [DONE]\n\n", true)
}

func encodeEvent(id int, answer chatResponse) string {
	raw, err := json.Marshal(answer)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, raw)
}

// streamRetention is how long after its start a stream can be resumed.
const streamRetention = 30 * time.Second

func (e *Engine) dropStream(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.streams, id)
}

func (e *Engine) findStream(id string) *engineStream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.streams[id]
}

// serveResume sends a stream's events from ?from=N on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	kept := e.findStream(r.PathValue("id"))
	if kept == nil {
		http.NotFound(w, r)
		return
	}
	offset, _ := strconv.Atoi(r.URL.Query().Get("from"))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for {
		events, done, changed := kept.from(offset)
		for _, event := range events {
			_, _ = fmt.Fprint(w, event)
		}
		offset += len(events)
		_ = flusher.Flush()
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	kept := e.findStream(r.PathValue("id"))
	if kept == nil {
		http.NotFound(w, r)
		return
	}
	kept.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// pause waits for the duration. It returns false if the context ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
