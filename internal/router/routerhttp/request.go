package routerhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/router"
	"github.com/harriernotch/harriernotch/internal/routing"
	"github.com/harriernotch/harriernotch/internal/slo"
)

// Headers that callers may send.
const (
	// HeaderPriority is "interactive" (the default) or "batch".
	HeaderPriority = "Harriernotch-Priority"
	// HeaderTimeout is how long the caller waits, such as "30s".
	HeaderTimeout = "Harriernotch-Timeout"
	// HeaderRepeatable is "yes" or "no"; the default depends on the pool.
	HeaderRepeatable = "Harriernotch-Repeatable"
	// HeaderIdempotencyKey is a UUID of version 7 that identifies a non-repeatable
	// request. The time in the UUID is used as the key's time of issue.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderChatToken is the token from the chat's last answer. Answers set it too.
	HeaderChatToken = "Harriernotch-Chat-Token"
)

// Headers of answers to callers.
const (
	// HeaderRequestID identifies the request in the logs of all nodes.
	HeaderRequestID = "Harriernotch-Request-Id"
	// HeaderBackEnd is the ID of the back end that answered.
	HeaderBackEnd = "Harriernotch-Back-End"
	// HeaderAttempts is the number of attempts made.
	HeaderAttempts = "Harriernotch-Attempts"
)

// userRole is the role of the user's messages in a chat.
const userRole = "user"

// callerRequest is a caller's request after reading and validation.
type callerRequest struct {
	router.Request
	body   []byte
	isChat bool
	// targets are the objectives in force when the request arrived.
	targets slo.Targets
}

// chatHead is the part of a chat request's body that routing needs.
type chatHead struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// authenticate returns the tenant whose key the Authorization header carries.
func authenticate(content *bundle.Content, header http.Header) (*bundle.Tenant, error) {
	key, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, failure.New(failure.Unauthenticated, "send the tenant's key as `Authorization: Bearer KEY`")
	}
	tenant := content.TenantByKey(key)
	if tenant == nil {
		return nil, failure.New(failure.Unauthenticated, "the key is unknown; use one whose hash is in the bundle")
	}
	return tenant, nil
}

// readBody reads the whole body. It must be complete before routing because a refused
// request is sent again to another back end, and because a chat's model is in the body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.New(failure.TooLarge, fmt.Sprintf("the body is over %d bytes; shorten it or raise router.max_body_bytes", limit))
	}
	if err != nil {
		return nil, failure.Wrap(failure.InvalidRequest, err, "the body broke off")
	}
	return body, nil
}

// parseHeaders sets the fields that are read from the headers of every request.
func (p *callerRequest) parseHeaders(now time.Time, header http.Header, limits TimeoutLimits) error {
	var err error
	if p.Priority, err = parsePriority(header.Get(HeaderPriority)); err != nil {
		return err
	}
	timeout, err := parseTimeout(header.Get(HeaderTimeout), limits)
	if err != nil {
		return err
	}
	p.Deadline = now.Add(timeout)
	return nil
}

func parsePriority(text string) (admission.Priority, error) {
	switch text {
	case "", "interactive":
		return admission.Interactive, nil
	case "batch":
		return admission.Batch, nil
	default:
		return 0, failure.New(failure.InvalidRequest, HeaderPriority+` must be "interactive" or "batch"`)
	}
}

// TimeoutLimits holds the default and the maximum of the timeouts that callers set.
type TimeoutLimits struct {
	Default time.Duration
	Max     time.Duration
}

func parseTimeout(text string, limits TimeoutLimits) (time.Duration, error) {
	if text == "" {
		return limits.Default, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > limits.Max {
		return 0, failure.New(failure.InvalidRequest, fmt.Sprintf(`%s must be a duration up to %v, such as "30s"`, HeaderTimeout, limits.Max))
	}
	return timeout, nil
}

// parseKey reads the idempotency key. unrepeatable is the default for the request,
// which HeaderRepeatable overrides. The key of a repeatable request is ignored.
func (p *callerRequest) parseKey(header http.Header, unrepeatable bool, path string) error {
	switch header.Get(HeaderRepeatable) {
	case "":
	case "yes":
		unrepeatable = false
	case "no":
		unrepeatable = true
	default:
		return failure.New(failure.InvalidRequest, HeaderRepeatable+` must be "yes" or "no"`)
	}
	text := header.Get(HeaderIdempotencyKey)
	if text == "" || !unrepeatable {
		return nil
	}
	key, err := uuid.Parse(text)
	if err != nil || key.Version() != 7 {
		return failure.New(failure.InvalidRequest, HeaderIdempotencyKey+" must be a UUID of version 7, made once for each piece of work and sent again with every repeat")
	}
	p.Key = key.String()
	p.KeyIssued = issueTime(key)
	p.KeyDigest = digest(path, p.body)
	return nil
}

// issueTime returns the time in the UUID: Unix milliseconds in its first 48 bits
// (RFC 9562).
func issueTime(key uuid.UUID) time.Time {
	var millis int64
	for _, octet := range key[:6] {
		millis = millis<<8 | int64(octet)
	}
	return time.UnixMilli(millis)
}

func digest(path string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(path + "\n")
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// parseChat sets the fields that are read from a chat's body and token.
func (p *callerRequest) parseChat(content *bundle.Content, header http.Header, sealer *routing.TokenSealer) error {
	var head chatHead
	if err := json.Unmarshal(p.body, &head); err != nil {
		return failure.Wrap(failure.InvalidRequest, err, "the body must be a chat completion request in JSON")
	}
	if head.Model == "" {
		return failure.New(failure.InvalidRequest, "model is missing; name one that GET /v1/models lists")
	}
	if len(head.Messages) == 0 {
		return failure.New(failure.InvalidRequest, "messages is empty; send at least one message")
	}
	pool := content.PoolForModel(head.Model)
	if pool == nil {
		return failure.New(failure.UnknownModel, fmt.Sprintf("no pool serves the model %q; GET /v1/models lists those that are served", head.Model))
	}
	p.Pool = pool.Name
	p.isChat = true
	p.ChatKey = head.key(p.Tenant)
	if text := header.Get(HeaderChatToken); text != "" {
		token, err := sealer.Open(p.Tenant, text)
		if err != nil {
			return err
		}
		p.Token = &token
		p.ChatKey = token.Chat
	}
	return nil
}

// key returns the chat's key, a hash of the tenant, the model and the messages up to
// the first one of the user. These are the same in every turn, so a chat has the same
// key in every turn even without a token.
func (h chatHead) key(tenant string) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(tenant + "\n" + h.Model + "\n")
	for _, message := range h.Messages {
		_, _ = hash.WriteString(message.Role + "\n")
		_, _ = hash.Write(message.Content)
		if message.Role == userRole {
			break
		}
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}
