package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// fingerprints returns what stands for the content of the request: host, method, path,
// tenant and body. Callers may vary the query with each repeat, and a back end may trip over
// the query alone, so a request with a query has a second fingerprint that covers it. The
// hash is cryptographic: else a tenant could make up a request that stands for another's.
func (c *call) fingerprints() []dispatch.Fingerprint {
	path, query, hasQuery := strings.Cut(c.request.RequestURI, "?")
	digest := sha256.New()
	for _, field := range []string{c.request.Host, c.request.Method, path, c.tenant} {
		writeField(digest, []byte(field))
	}
	writeField(digest, c.body)
	list := []dispatch.Fingerprint{fingerprintOf(digest)}
	if hasQuery {
		writeField(digest, []byte(query))
		list = append(list, fingerprintOf(digest))
	}
	return list
}

// writeField adds a field with its length, so that no two lists of fields look alike.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash never fails to take bytes.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
}

func fingerprintOf(digest hash.Hash) dispatch.Fingerprint {
	return dispatch.Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}
