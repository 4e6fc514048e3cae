package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
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
