package hop

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

func TestHeadAndReplyRoundTrip(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	head := Head{
		RequestID: "r", BackEnd: "e1", Tenant: "t", Affine: true, Key: "k",
		ReportedLoads: []routing.ReportedLoad{{BackEnd: "e2", Load: 7}},
		Piggyback:     Piggyback{Number: 3, Records: []membership.Record{{ID: "e3", Load: 9, Beat: 2}}},
	}
	is.NoErr(SetHead(header, head))
	parsed, err := ParseHead(header)
	is.NoErr(err)
	is.Equal(parsed, head)
	reply := Reply{Refused: true, Kind: failure.OverBound.String(), Load: 4}
	is.NoErr(SetReply(header, reply))
	parsedReply, err := ParseReply(header)
	is.NoErr(err)
	is.Equal(parsedReply, reply)
}

// The test guards against routers and agents of different builds that misread each other:
// a head without a wait budget states none, and a build that doesn't know the field reads
// the rest of the head.
func TestWaitBudgetIsOptional(t *testing.T) {
	is := is.New(t)
	type olderHead struct {
		RequestID       string `cbor:"1,keyasint"`
		RemainingMillis int64  `cbor:"5,keyasint"`
		LastAttempt     bool   `cbor:"13,keyasint,omitempty"`
	}
	header := http.Header{}
	is.NoErr(set(header, HeaderHead, olderHead{RequestID: "r", RemainingMillis: 7, LastAttempt: true}))
	fromOlder, err := ParseHead(header)
	is.NoErr(err)
	_, limited := fromOlder.WaitLeft()
	is.True(!limited)
	left := int64(0)
	is.NoErr(SetHead(header, Head{RequestID: "r", RemainingMillis: 7, LastAttempt: true, WaitLeftMillis: &left}))
	var older olderHead
	is.NoErr(parse(header, HeaderHead, &older))
	is.Equal(older, olderHead{RequestID: "r", RemainingMillis: 7, LastAttempt: true})
	fromNewer, err := ParseHead(header)
	is.NoErr(err)
	wait, limited := fromNewer.WaitLeft()
	is.True(limited) // a budget that is used up isn't taken for none
	is.Equal(wait, time.Duration(0))
}

func TestCredentialRefusesAnotherKey(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	ours := NewCredential([]byte("ours"))
	is.Equal(failure.KindOf(ours.Check(header)), failure.UntrustedPeer)
	NewCredential([]byte("theirs")).Set(header)
	is.Equal(failure.KindOf(ours.Check(header)), failure.UntrustedPeer)
	ours.Set(header)
	is.NoErr(ours.Check(header))
}

func TestCopyHeadersDropsSecretsAndInternalHeaders(t *testing.T) {
	is := is.New(t)
	to := http.Header{}
	CopyHeaders(to, http.Header{
		"Authorization": {"Bearer s"}, "Harriernotch-Head": {"x"}, "Connection": {"close"},
		"Idempotency-Key": {"k"}, "Content-Type": {"text/plain"},
	})
	is.Equal(to, http.Header{"Content-Type": {"text/plain"}})
}

func TestCopierReportsTruncatedStream(t *testing.T) {
	whole := "data: a\n\ndata: [DONE]\n\n"
	cases := map[string]struct {
		source io.Reader
		isCut  bool
	}{
		"whole":             {strings.NewReader(whole), false},
		"byte by byte":      {iotest.OneByteReader(strings.NewReader(whole)), false},
		"without its end":   {strings.NewReader("data: a\n\n"), true},
		"broken in between": {io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(errors.New("cut"))), true},
		"broken at the end": {io.MultiReader(strings.NewReader(whole), iotest.ErrReader(errors.New("cut"))), true},
		"nothing at all":    {strings.NewReader(""), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			copier := NewCopier("/v1/chat/completions", http.Header{"Content-Type": {EventStream}})
			err := copier.Copy(httptest.NewRecorder(), c.source)
			is.Equal(err != nil, c.isCut)
		})
	}
}

func FuzzParseHead(f *testing.F) {
	header := http.Header{}
	_ = SetHead(header, Head{RequestID: "r", BackEnd: "e1"})
	f.Add(header.Get(HeaderHead))
	f.Add("")
	f.Add("oWF4")
	f.Fuzz(func(t *testing.T, text string) {
		head, err := ParseHead(http.Header{HeaderHead: {text}})
		if err == nil && head.Priority > 1 {
			t.Fatal("an unknown priority was accepted")
		}
		_, _ = ParseReply(http.Header{HeaderReply: {text}})
	})
}
