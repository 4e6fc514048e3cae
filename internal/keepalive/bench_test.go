package keepalive

import (
	"io"
	"net/http"
	"testing"

	"github.com/harriernotch/harriernotch/internal/hop"
)

// BenchmarkRoundTrip compares a request on a persistent connection of Transport with one on a pooled
// connection without its checks and one on a new connection.
func BenchmarkRoundTrip(b *testing.B) {
	server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
	address, persistent := startTCP(b, server, nil)
	pooled, fresh := hop.NewDirectTransport(nil, true), hop.NewDirectTransport(nil, false)
	defer pooled.CloseIdleConnections()
	for name, transport := range map[string]http.RoundTripper{"persistent": persistent, "pooled": pooled, "new": fresh} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request, err := hop.NewRequest(b.Context(), http.MethodPost, "http://"+address, nil, 0)
				if err != nil {
					b.Fatal(err)
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
