package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// fingerprints returns hashes that identify the request's content: host, method, path, tenant
// and body. Callers may vary the query with each repeat, while a back end may crash because of
// the query alone; a request with a query therefore has a second fingerprint that includes it.
// The hash is cryptographic, because otherwise a tenant could craft a request with the same
// fingerprint as another tenant's.
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

// writeField adds a field with its length, so that different lists of fields never collide.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// hash.Hash never returns an error from Write.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
}

func fingerprintOf(digest hash.Hash) dispatch.Fingerprint {
	return dispatch.Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}
