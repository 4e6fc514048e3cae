package routing

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// ChatToken says which engine holds a chat's context. The caller returns it with
// the chat's next turn, so that any router finds the engine without shared state or
// messages. It is only a hint: a wrong token costs rebuilding the context, nothing
// else.
type ChatToken struct {
	// Chat identifies the chat.
	Chat string `cbor:"1,keyasint"`
	// Engine is the back end that served the last turn.
	Engine string `cbor:"2,keyasint"`
	// Incarnation is the incarnation of that engine's agent. The context is lost once
	// it differs.
	Incarnation uint32 `cbor:"3,keyasint"`
	// IssuedAt is the router's time in seconds since 1970.
	IssuedAt int64 `cbor:"4,keyasint"`
	// ContextTokens is the length of the served context, in model tokens. Routers leave it
	// at 0.
	ContextTokens int `cbor:"5,keyasint"`
}

const (
	tokenMACSize = 16
	// MaxTokenLength bounds the encoded token, in bytes.
	MaxTokenLength = 512
	tokenDomain    = "harriernotch chat token v1\n"
)

// TokenSealer seals and opens chat tokens with the cluster key.
type TokenSealer struct {
	key []byte
}

// NewTokenSealer returns a sealer. All routers must use the same key.
func NewTokenSealer(clusterKey []byte) *TokenSealer {
	return &TokenSealer{key: clusterKey}
}

// Seal encodes and authenticates a token that only this tenant can use.
func (s *TokenSealer) Seal(tenant string, token ChatToken) string {
	body, err := cbor.Marshal(token)
	if err != nil {
		// A struct of fixed basic types always encodes.
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(s.mac(tenant, body), body...))
}

// Open verifies and decodes a token. It rejects a token that is malformed, was altered,
// or belongs to another tenant.
func (s *TokenSealer) Open(tenant, text string) (ChatToken, error) {
	invalid := failure.New(failure.InvalidRequest, "the chat token is not valid; send it as it was received, or leave it out")
	if len(text) > MaxTokenLength {
		return ChatToken{}, invalid
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) <= tokenMACSize {
		return ChatToken{}, invalid
	}
	body := raw[tokenMACSize:]
	if !hmac.Equal(raw[:tokenMACSize], s.mac(tenant, body)) {
		return ChatToken{}, invalid
	}
	var token ChatToken
	if err := cbor.Unmarshal(body, &token); err != nil {
		return ChatToken{}, invalid
	}
	return token, nil
}

// mac authenticates the tenant and the body. The tenant is prefixed with its length
// so that the boundary between the two is unambiguous.
func (s *TokenSealer) mac(tenant string, body []byte) []byte {
	hash := hmac.New(sha256.New, s.key)
	hash.Write([]byte(tokenDomain))
	hash.Write([]byte{byte(len(tenant))})
	hash.Write([]byte(tenant))
	hash.Write(body)
	return hash.Sum(nil)[:tokenMACSize]
}
