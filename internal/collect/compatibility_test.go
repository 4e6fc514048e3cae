package collect

import (
	"os"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// recordedCounts are the counts in the recorded messages of builds that don't know unread tokens.
var recordedCounts = []dispatch.Count{{Key: 7, Requests: 3, Demand: 40}, {Key: 9, Requests: 1, Demand: 2, Ended: 5, ResidenceMillis: 600}}

// recordedTallies and recordedTenants are those in the recorded messages of later builds than 018ec82.
var (
	recordedTallies = []rollout.Tally{{
		Key: rollout.Key{Order: 5, Route: 2, Group: 3}, Sent: 4, InFlight: 1, Answers: 3, Failed: 1, Timed: 2, Slow: 1,
		ProcessingMillis: 700, Complete: 2, CompleteMillis: 900, CompleteSquares: 410_000,
	}}
	recordedTenants = []fairshare.Demand{
		{Service: 1, Demand: 9, Admitted: 6, Refused: 3, Unserved: 2},
		{Service: 1, Tenant: 2, Demand: 7},
	}
)

// withUnread returns the recorded counts of builds that know unread tokens.
func withUnread() []dispatch.Count {
	counts := slices.Clone(recordedCounts)
	counts[1].Unread = 5
	return counts
}

// recordedBuilds are the builds with recorded messages, and what those messages contain. A build that
// doesn't know unread tokens counts as having none.
var recordedBuilds = map[string]struct {
	group  bool
	totals dispatch.Totals
}{
	"018ec82": {false, dispatch.Totals{Counts: recordedCounts, Counted: 12, Expected: 14}},
	"a0e46b0": {true, dispatch.Totals{Counts: recordedCounts, Counted: 12, Expected: 14, Tallies: recordedTallies, Tenants: recordedTenants}},
	"d855b8f": {true, dispatch.Totals{Counts: withUnread(), Counted: 12, Expected: 14, Tallies: recordedTallies, Tenants: recordedTenants}},
}

func recordedMessage(t *testing.T, kind, build string) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/landed/" + kind + "-" + build + ".cbor")
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Every build decodes the queries and answers of earlier builds.
func TestMessagesOfEarlierBuildsAreDecoded(t *testing.T) {
	for build, want := range recordedBuilds {
		t.Run(build, func(t *testing.T) {
			is := is.New(t)
			var query queryMessage
			is.NoErr(cbor.Unmarshal(recordedMessage(t, "question", build), &query))
			is.Equal(query.From, "g1")
			is.Equal(query.Group, want.group)
			counts, err := unpackCounts(query.Counts, query.Unread)
			is.NoErr(err)
			is.Equal(counts, want.totals.Counts)
			is.Equal(query.Tallies, want.totals.Tallies)
			tenants, err := query.Tenants.Unpack()
			is.NoErr(err)
			is.Equal(tenants, want.totals.Tenants)

			totals, err := decodeAnswer(recordedMessage(t, "answer", build))
			is.NoErr(err)
			is.Equal(totals, want.totals)
		})
	}
}

// An earlier build finds the fields that it knows in the messages of this build, encoded as it
// encodes them itself.
func TestEarlierBuildsFindTheirFieldsInOurMessages(t *testing.T) {
	is := is.New(t)
	fields := func(raw []byte) map[int]cbor.RawMessage {
		var found map[int]cbor.RawMessage
		is.NoErr(cbor.Unmarshal(raw, &found))
		return found
	}
	counts := withUnread()
	query, err := cbor.Marshal(queryMessage{
		From: "g1", Group: true, Counts: pack(counts), Tallies: recordedTallies, Unread: packUnread(counts), Tenants: fairshare.Pack(recordedTenants),
	})
	is.NoErr(err)
	answer, err := encodeAnswer(dispatch.Totals{Counts: counts, Counted: 12, Expected: 14, Tallies: recordedTallies, Tenants: recordedTenants})
	is.NoErr(err)
	is.True(fields(query)[unreadField] != nil && fields(answer)[unreadField] != nil)
	for build := range recordedBuilds {
		for field, value := range fields(recordedMessage(t, "question", build)) {
			is.Equal(fields(query)[field], value)
		}
		for field, value := range fields(recordedMessage(t, "answer", build)) {
			is.Equal(fields(answer)[field], value)
		}
	}
	// The messages of the last recorded build have every field set.
	is.Equal(len(fields(recordedMessage(t, "question", "d855b8f"))), 6)
	is.Equal(len(fields(recordedMessage(t, "answer", "d855b8f"))), 6)
}

// unreadField is the number of the field with the unread tokens in queries and answers.
const unreadField = 5

// Guards against unread tokens that change the messages of fleets without engines, and against an
// encoding that this build couldn't read in its own messages.
func TestUnreadTokensAreSentOnlyWhereThereAreAny(t *testing.T) {
	is := is.New(t)
	encode := func(counts []dispatch.Count) (fields map[int]cbor.RawMessage, decoded dispatch.Totals) {
		raw, err := encodeAnswer(dispatch.Totals{Counts: counts, Counted: 12, Expected: 14})
		is.NoErr(err)
		is.NoErr(cbor.Unmarshal(raw, &fields))
		decoded, err = decodeAnswer(raw)
		is.NoErr(err)
		return fields, decoded
	}
	fields, _ := encode(recordedCounts)
	is.Equal(fields[unreadField], nil)
	counts := withUnread()
	fields, decoded := encode(counts)
	is.Equal(decoded.Counts, counts)
	is.Equal(len(fields[unreadField]), 3) // a byte string of two bytes
}

// A message whose unread tokens can't be decoded is invalid as a whole: its counts may be damaged, too.
func TestMalformedUnreadTokensMakeTheMessageInvalid(t *testing.T) {
	counts := pack(recordedCounts)
	for name, unread := range map[string]packedUnread{
		"truncated": {3}, "beyond the counts": {5, 2}, "beyond the counts after another": {2, 3, 2}, "more than the counts": {2, 2, 2},
		"zero": {0}, "zero after a back end without": {3, 0}, "consecutive back ends without": {3, 1, 2}, "out of range": {0xfe, 0xff, 0xff, 0xff, 0x0f},
		"unfinished number": {0x80},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := cbor.Marshal(answerMessage{Counts: counts, Counted: 12, Expected: 14, Unread: unread})
			is.NoErr(err)
			_, err = decodeAnswer(raw)
			is.True(err != nil)
			_, err = unpackCounts(counts, unread) // as of a query
			is.True(err != nil)
		})
	}
	is := is.New(t)
	_, err := unpackCounts(nil, packedUnread{2}) // unread tokens without counts
	is.True(err != nil)
	raw, err := cbor.Marshal(map[int]any{1: []byte(counts), 2: 12, 3: 14, unreadField: "text"})
	is.NoErr(err)
	_, err = decodeAnswer(raw)
	is.True(err != nil)
}
