package collect

import (
	"os"
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
	counts, err := query.Counts.unpack()
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
	query, err := cbor.Marshal(queryMessage{From: "g1", Counts: pack(recordedCounts), Tallies: tallies, Tenants: fairshare.Pack(tenants)})
	is.NoErr(err)
	answer, err := encodeAnswer(dispatch.Totals{Counts: recordedCounts, Counted: 12, Expected: 14, Tallies: tallies, Tenants: tenants})
	is.NoErr(err)
	for field, value := range recorded("question") {
		is.Equal(fields(query)[field], value)
	}
	for field, value := range recorded("answer") {
		is.Equal(fields(answer)[field], value)
	}
}
