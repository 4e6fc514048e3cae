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
	writeLength(digest, c.body.size)
	for _, piece := range c.body.pieces {
		_, _ = digest.Write(piece) // never returns an error
	}
	list := []dispatch.Fingerprint{fingerprintOf(digest)}
	if hasQuery {
		writeField(digest, []byte(query))
		list = append(list, fingerprintOf(digest))
	}
	return list
}

// writeField adds a field with its length, so that different lists of fields never collide.
func writeField(digest hash.Hash, field []byte) {
	writeLength(digest, int64(len(field)))
	_, _ = digest.Write(field) // never returns an error
}

func writeLength(digest hash.Hash, length int64) {
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
}

func fingerprintOf(digest hash.Hash) dispatch.Fingerprint {
	return dispatch.Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}
