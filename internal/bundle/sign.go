package bundle

import (
	"bytes"
	"compress/gzip"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// signatureContext prefixes the signed bytes, so that a signature made with the same key for
// another purpose isn't valid for a bundle.
const signatureContext = "harriernotch bundle v1\n"

// Header is the signed description of one published version.
type Header struct {
	// Number orders versions; every publication uses a higher one.
	Number uint64 `cbor:"1,keyasint"`
	// Identifier is a random identifier that the writer chose. If the answer to a write is lost,
	// it shows whether the write took effect.
	Identifier string `cbor:"2,keyasint"`
	// SignedAtMillis is the time of signing by the signer's clock, in Unix milliseconds.
	SignedAtMillis int64 `cbor:"3,keyasint"`
	// Handovers keep the owners of keys of unrepeatable requests stable while a member list
	// changes, oldest first.
	Handovers []Handover `cbor:"4,keyasint,omitempty"`
	// StaleUntilMillis is the time by which every node that missed this version has lost its
	// lease, in Unix milliseconds; 0 for the first version.
	StaleUntilMillis int64 `cbor:"5,keyasint,omitempty"`
	// Note is the operator's comment.
	Note string `cbor:"6,keyasint,omitempty"`
}

// Handover defines which member list owns the keys that were issued before a given time.
type Handover struct {
	// Pool is the pool's name.
	Pool string `cbor:"1,keyasint"`
	// Members is the member list from before the change.
	Members []string `cbor:"2,keyasint"`
	// UntilMillis is a Unix time in milliseconds: keys issued before it belong to Members.
	UntilMillis int64 `cbor:"3,keyasint"`
}

// Until returns the end of the handover.
func (h Handover) Until() time.Time { return time.UnixMilli(h.UntilMillis) }

// signedPart is the content that the signature covers.
type signedPart struct {
	Header  Header `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// envelope is the form in which a bundle is stored and relayed.
type envelope struct {
	// Signed is the compressed CBOR of signedPart.
	Signed    []byte `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
	KeyID     string `cbor:"3,keyasint"`
}

// Bundle is a verified version of the configuration.
type Bundle struct {
	Header
	// Content is the parsed document, including defaults.
	Content *Content
	// Source is the document as the operator wrote it.
	Source []byte
	// Raw is the signed form, as it is stored and relayed.
	Raw []byte
	// KeyID identifies the key that signed the bundle.
	KeyID string
}

// SignedAt returns the time of signing by the signer's clock.
func (h Header) SignedAt() time.Time { return time.UnixMilli(h.SignedAtMillis) }

// KeyID returns the short identifier of a public key.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:8])
}

// Sign returns the signed form of a document. It fails if the document doesn't pass Parse.
func Sign(header Header, source []byte, key ed25519.PrivateKey) ([]byte, error) {
	if _, err := Parse("bundle", source); err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "the document is invalid")
	}
	if header.Number == 0 || header.Identifier == "" {
		return nil, failure.New(failure.InvalidBundle, "the header needs a number above 0 and an identifier")
	}
	encoded, err := cbor.Marshal(signedPart{Header: header, Content: source})
	if err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "encode")
	}
	compressed, err := compress(encoded)
	if err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "compress")
	}
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, failure.New(failure.InvalidBundle, "the signing key has no Ed25519 public key")
	}
	raw, err := cbor.Marshal(envelope{
		Signed:    compressed,
		Signature: ed25519.Sign(key, signedBytes(compressed)),
		KeyID:     KeyID(public),
	})
	if err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "encode")
	}
	if len(raw) > MaxSize {
		return nil, failure.New(failure.InvalidBundle, "the signed bundle is over 1 MiB; remove unused tenants or back ends")
	}
	return raw, nil
}

// Open verifies the signature of a signed bundle and parses its document.
func Open(raw []byte, trusted []ed25519.PublicKey) (*Bundle, error) {
	if len(raw) > MaxSize {
		return nil, failure.New(failure.InvalidBundle, "the signed bundle is over 1 MiB")
	}
	var sealed envelope
	if err := cbor.Unmarshal(raw, &sealed); err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "not a signed bundle")
	}
	// The signature is verified before anything inside is decompressed or decoded, so that only
	// trusted bytes reach those decoders.
	if !verified(sealed, trusted) {
		return nil, failure.New(failure.BadSignature, "the signature was not made by a trusted key; sign with a key listed in trusted_keys")
	}
	encoded, err := decompress(sealed.Signed)
	if err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "decompress")
	}
	var part signedPart
	if err := cbor.Unmarshal(encoded, &part); err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "decode")
	}
	content, err := Parse("bundle", part.Content)
	if err != nil {
		return nil, failure.Wrap(failure.InvalidBundle, err, "the document is invalid")
	}
	return &Bundle{Header: part.Header, Content: content, Source: part.Content, Raw: raw, KeyID: sealed.KeyID}, nil
}

func verified(sealed envelope, trusted []ed25519.PublicKey) bool {
	message := signedBytes(sealed.Signed)
	for _, key := range trusted {
		if len(key) == ed25519.PublicKeySize && ed25519.Verify(key, message, sealed.Signature) {
			return true
		}
	}
	return false
}

func signedBytes(compressed []byte) []byte {
	return append([]byte(signatureContext), compressed...)
}

func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// maxDecompressedSize is the maximum size of a decompressed bundle in bytes.
const maxDecompressedSize = 16 << 20

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDecompressedSize+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxDecompressedSize {
		return nil, failure.New(failure.InvalidBundle, "the decompressed bundle is over 16 MiB")
	}
	return data, nil
}
