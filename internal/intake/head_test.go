package intake

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func TestHeadMeterFindsTheEndOfHeads(t *testing.T) {
	is := is.New(t)
	for _, each := range []struct {
		parts       []string
		isWhole     bool
		lines, rest int64
	}{
		{[]string{"GET / HTTP/1.1\r\nA: b\r\n"}, false, 2, 0},
		{[]string{"GET / HTTP/1.1\r\nA: b\r\n\r\n"}, true, 2, 0},
		{[]string{"GET / HTTP/1.1\nA: b\n\n"}, true, 2, 0},
		{[]string{"\r\nGET / HTTP/1.1\r\nA: b\r", "\n\r", "\n"}, true, 3, 0}, // net/http skips an empty line after a POST
		{[]string{"POST / HTTP/1.1\r\n\r\nbody\n"}, true, 1, 5},
		{[]string{"GET / HTTP/1.1\r\n\r\nGET /"}, true, 1, 5},
	} {
		var head headMeter
		for _, part := range each.parts {
			head.readHead([]byte(part))
		}
		is.Equal(head.isWhole, each.isWhole)
		is.Equal(head.lines, each.lines)
		is.Equal(head.rest, each.rest)
	}
}

// Guards against heads that are sent ahead, in the same read as the request before them, being free of charge.
func TestHeadMeterCountsWhatWasReadAhead(t *testing.T) {
	is := is.New(t)
	var head headMeter
	head.readHead([]byte("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 100)))
	is.True(head.memory() >= 100*fieldBytes)
	head.next()
	is.True(head.memory() >= 100*fieldBytes)
	head.readHead([]byte("b:\r\n\r\n"))
	is.True(head.isWhole)
	head.next()
	head.readBody(bytes.Repeat([]byte("\n"), readAhead), readAhead)
	head.next()
	is.Equal(head.restLines, int64(readAhead))
	head.readBody(bytes.Repeat([]byte("\n"), readAhead), 2*readAhead) // goes past the buffer of net/http
	head.next()
	is.Equal(head.memory(), int64(0))
}

// Guards against a head that counts as not whole once net/http has it, or that takes less memory than it has fields,
// however it is cut into reads.
func TestHeadMeterAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		var text strings.Builder
		text.WriteString("GET / HTTP/1.1" + end + "Host: h" + end)
		fields := rapid.IntRange(0, 30).Draw(t, "fields")
		for range fields {
			text.WriteString("X-" + rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "name") + ":" + rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "value") + end)
		}
		whole := text.String() + end
		var head headMeter
		for sent := 0; sent < len(whole); {
			if head.isWhole {
				t.Fatalf("whole after %d of %d bytes", sent, len(whole))
			}
			next := min(len(whole), sent+rapid.IntRange(1, 40).Draw(t, "size"))
			head.readHead([]byte(whole[sent:next]))
			sent = next
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(whole)))
		if err != nil || request.Host != "h" || !head.isWhole {
			t.Fatalf("whole is %v, net/http says %v", head.isWhole, err)
		}
		if head.memory() < int64(fields*fieldBytes+len(whole)) || head.bytes != int64(len(whole)) {
			t.Fatalf("%d bytes of memory for %d fields in %d of %d bytes", head.memory(), fields, head.bytes, len(whole))
		}
	})
}

// BenchmarkOrdinaryHead measures the metering of a head of 12 fields.
func BenchmarkOrdinaryHead(b *testing.B) {
	part := []byte("POST /a/b HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Field-Name: a value of usual size\r\n", 11) + "\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var head headMeter
		head.readHead(part)
		head.next()
	}
}
