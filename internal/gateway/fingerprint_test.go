package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func callOf(host, method, target, tenant, body string) *call {
	return &call{request: &http.Request{Host: host, Method: method, RequestURI: target}, tenant: tenant, body: requestBody{pieces: [][]byte{[]byte(body)}, size: int64(len(body))}}
}

func TestFingerprintCoversRequestContent(t *testing.T) {
	is := is.New(t)
	base := callOf("h", "POST", "/a/b", "t", "body").fingerprints()
	is.Equal(len(base), 1)
	is.Equal(callOf("h", "POST", "/a/b", "t", "body").fingerprints(), base)
	inPieces := callOf("h", "POST", "/a/b", "t", "body")
	inPieces.body.pieces = [][]byte{[]byte("bo"), nil, []byte("dy")}
	is.Equal(inPieces.fingerprints(), base)
	for _, other := range []*call{
		callOf("i", "POST", "/a/b", "t", "body"), callOf("h", "PUT", "/a/b", "t", "body"), callOf("h", "POST", "/a/c", "t", "body"),
		callOf("h", "POST", "/a/b", "u", "body"), callOf("h", "POST", "/a/b", "t", "bodz"), callOf("h", "POST", "/a/bt", "", "body"),
	} {
		is.True(other.fingerprints()[0] != base[0])
	}
	// A query that changes with each repeat doesn't change the first fingerprint, and a query
	// that matters changes the second.
	one, two := callOf("h", "POST", "/a/b?x=1", "t", "body").fingerprints(), callOf("h", "POST", "/a/b?x=2", "t", "body").fingerprints()
	is.Equal(one[0], base[0])
	is.Equal(two[0], base[0])
	is.True(one[1] != two[1])
}

// BenchmarkFingerprints measures the cost per request while any content is withheld: 10 us with
// a body of 12 KB. While no crashes are known, fingerprints are computed only after failures.
func BenchmarkFingerprints(b *testing.B) {
	c := callOf("chat.example", "POST", "/chat/17f/fb06", "tenant", string(make([]byte, 12<<10)))
	for b.Loop() {
		_ = c.fingerprints()
	}
}
