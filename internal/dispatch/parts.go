package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
	"strings"
)

// partFingerprintLabel keeps fingerprints of parts apart from those of contents.
const partFingerprintLabel = "prompt part"

// PartFingerprints returns the fingerprints of the prompt's parts that requests share: all but the last, which
// belongs to the request or its chat. A part is identified by its ID and the service, regardless of the tenant. The
// hash is cryptographic, because otherwise a tenant could craft a part with the same fingerprint as another tenant's.
func PartFingerprints(service string, parts []Part) []Fingerprint {
	if len(parts) < 2 {
		return nil
	}
	list := make([]Fingerprint, len(parts)-1)
	for i := range list {
		list[i] = partFingerprint(service, parts[i].ID)
	}
	return list
}

func partFingerprint(service, id string) Fingerprint {
	digest := sha256.New()
	for _, field := range []string{partFingerprintLabel, service, id} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		// hash.Hash never returns an error from Write.
		_, _ = digest.Write(length[:])
		_, _ = io.WriteString(digest, field)
	}
	return Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// ParseParts parses a comma-separated list of ID:TOKENS. An invalid list counts as empty:
// prompt parts only improve the choice of a back end.
func ParseParts(text string) []Part {
	if text == "" {
		return nil
	}
	var list []Part
	for _, item := range strings.Split(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if !found || id == "" || err != nil || tokens < 0 {
			return nil
		}
		list = append(list, Part{ID: id, Tokens: tokens})
	}
	return list
}
