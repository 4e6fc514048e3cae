package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// privateFileMode is the mode of signing keys, which only their owner may access.
const privateFileMode = 0o600

// writeNewKey writes a new signing key to a file and returns its public key. It fails if the file
// exists.
func writeNewKey(path string) (ed25519.PublicKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate a signing key")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "write the signing key; move an existing key file away first")
	}
	_, err = file.WriteString(base64.StdEncoding.EncodeToString(private.Seed()) + "\n")
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, errors.Wrap(err, "write the signing key")
	}
	return public, nil
}

// readKey reads a signing key that writeNewKey wrote.
func readKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "--key can't be read; name the file that `bundle init` wrote")
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, failure.New(failure.InvalidRequest, path+" is not a signing key; name the file that `bundle init` wrote")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// parsePublicKeys decodes public keys in base64.
func parsePublicKeys(texts []string) ([]ed25519.PublicKey, error) {
	keys := make([]ed25519.PublicKey, 0, len(texts))
	for _, text := range texts {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, failure.New(failure.InvalidRequest, "--trusted: "+text+" is not an Ed25519 public key in base64; copy the key that `bundle init` printed")
		}
		keys = append(keys, raw)
	}
	return keys, nil
}

func encodePublicKey(key ed25519.PublicKey) string { return base64.StdEncoding.EncodeToString(key) }

// publicKeyOf returns the public key of a signing key.
func publicKeyOf(key ed25519.PrivateKey) ed25519.PublicKey {
	return ed25519.PublicKey(key[ed25519.SeedSize:])
}
