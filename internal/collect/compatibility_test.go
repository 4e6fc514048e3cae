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

// recordedCounts are the counts in the recorded messages.
var recordedCounts = []dispatch.Count{{Key: 7, Requests: 3, Demand: 40}, {Key: 9, Requests: 1, Demand: 2, Ended: 5, ResidenceMillis: 600}}

// Every build decodes the queries and answers of earlier builds.
func TestMessagesOfEarlierBuildsAreDecoded(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("testdata/landed/question-018ec82.cbor")
	is.NoErr(err)
	var query queryMessage
	is.NoErr(cbor.Unmarshal(raw, &query))
	is.Equal(query.From, "g1")
	counts, err := unpackCounts(query.Counts, query.Unread)
	is.NoErr(err)
	is.Equal(counts, recordedCounts)

	raw, err = os.ReadFile("testdata/landed/answer-018ec82.cbor")
	is.NoErr(err)
	totals, err := decodeAnswer(raw)
	is.NoErr(err)
	is.Equal(totals, dispatch.Totals{Counts: recordedCounts, Counted: 12, Expected: 14})
}

// An earlier build finds the fields that it knows in the messages of this build.
func TestEarlierBuildsFindTheirFieldsInOurMessages(t *testing.T) {
	is := is.New(t)
	fields := func(raw []byte) map[int]cbor.RawMessage {
		var found map[int]cbor.RawMessage
		is.NoErr(cbor.Unmarshal(raw, &found))
		return found
	}
	recorded := func(name string) map[int]cbor.RawMessage {
		raw, err := os.ReadFile("testdata/landed/" + name + "-018ec82.cbor")
		is.NoErr(err)
		return fields(raw)
	}
	tallies := []rollout.Tally{{Key: rollout.Key{Order: 1, Route: 2, Group: 3}, Sent: 4}}
	tenants := []fairshare.Demand{{Service: 1, Demand: 7}, {Service: 1, Tenant: 2, Demand: 7}}
	counts := slices.Clone(recordedCounts)
	counts[1].Unread = 5
	query, err := cbor.Marshal(queryMessage{From: "g1", Counts: pack(counts), Tallies: tallies, Unread: packUnread(counts), Tenants: fairshare.Pack(tenants)})
	is.NoErr(err)
	answer, err := encodeAnswer(dispatch.Totals{Counts: counts, Counted: 12, Expected: 14, Tallies: tallies, Tenants: tenants})
	is.NoErr(err)
	is.True(fields(query)[unreadField] != nil && fields(answer)[unreadField] != nil)
	for field, value := range recorded("question") {
		is.Equal(fields(query)[field], value)
	}
	for field, value := range recorded("answer") {
		is.Equal(fields(answer)[field], value)
	}
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
	counts := slices.Clone(recordedCounts)
	counts[1].Unread = 5
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
