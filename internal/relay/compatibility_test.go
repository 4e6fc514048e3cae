package relay

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

// recordedMessages are messages as earlier builds wrote them, with every field set.
const recordedMessages = "testdata/landed/message-*.cbor"

// Every build decodes the messages of earlier builds: gateways of both run side by side while
// machines are being replaced.
func TestMessagesOfEarlierBuildsAreDecoded(t *testing.T) {
	files, err := filepath.Glob(recordedMessages)
	if err != nil || len(files) == 0 {
		t.Fatal("no message of an earlier build", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile(file)
			is.NoErr(err)
			message, err := decode(raw)
			is.NoErr(err)
			is.Equal(message.From, "g1")
			is.Equal(message.Peers, []Peer{{ID: "g2", Address: "10.0.0.2:2", AgeMillis: 5, StoreAgeMillis: 6, Zone: "z", Capacity: 30}})
			is.Equal(message.Version, uint64(7))
			is.True(message.WantDocument && message.KnowsEvacuations)
			is.Equal(len(message.Entries), 2)
			is.Equal(message.Entries[0].BackEnd, catalog.BackEnd{
				ID: "b", Service: "s", Address: "10.0.1.1:1", Zone: "z", Slots: 64, Leaving: true, WarmUp: time.Second, Born: 17,
			})
			is.Equal(message.Entries[1], catalog.Entry{BackEnd: catalog.BackEnd{ID: "c"}, Gone: true, Revision: 42, Era: message.Entries[1].Era})
			is.Equal(message.Loads, []dispatch.Load{{BackEnd: "b", Requests: 3}})
			is.Equal(message.Holdings, []dispatch.Holdings{{BackEnd: "b", Born: 17, Parts: []uint64{1, 2}, Tokens: []int{100, 200}}})
			is.Equal(len(message.Digest), catalog.DigestBuckets)
			is.Equal(message.Requested, catalog.Buckets(5))
			is.Equal(message.Answered, catalog.Buckets(9))
			is.Equal(message.Evacuations[0].Zone, "y")
			is.True(message.Evacuations[1].Withdrawn)
			is.Equal(message.Crashes[0].Incarnations, []uint32{1, 2, 3})
			var document catalog.Configuration
			is.NoErr(cbor.Unmarshal(message.Document, &document))
			is.NoErr(document.Check())
			is.Equal(document.Services[0].WarmUpTime, 3*time.Second)
		})
	}
}

// Guards against a load that an earlier build can't decode, and against a field that is sent where it
// says nothing.
func TestUnreadTokensInLoads(t *testing.T) {
	is := is.New(t)
	type earlierLoad struct {
		BackEnd  string `cbor:"1,keyasint"`
		Requests int    `cbor:"2,keyasint"`
	}
	raw, err := cbor.Marshal(dispatch.Load{BackEnd: "b", Requests: 3, Unread: 70})
	is.NoErr(err)
	var decoded dispatch.Load
	is.NoErr(cbor.Unmarshal(raw, &decoded))
	is.Equal(decoded, dispatch.Load{BackEnd: "b", Requests: 3, Unread: 70})
	var earlier earlierLoad
	is.NoErr(cbor.Unmarshal(raw, &earlier))
	is.Equal(earlier, earlierLoad{BackEnd: "b", Requests: 3})
	without, err := cbor.Marshal(dispatch.Load{BackEnd: "b", Requests: 3})
	is.NoErr(err)
	same, err := cbor.Marshal(earlier)
	is.NoErr(err)
	is.Equal(without, same)

	for _, unread := range []any{-1, "text", uint64(1) << 32} {
		raw, err := cbor.Marshal(map[int]any{1: "g1", 2: "a", 4: 1, 7: []any{map[int]any{1: "b", 2: 3, 3: unread}}, 8: 0})
		is.NoErr(err)
		_, err = decode(raw)
		is.True(err != nil) // the message is invalid
	}
}

// lastFields are the highest field numbers that the recorded builds know.
var lastFields = map[string]int{"018ec82": 19, "6219fa5": 25}

// An earlier build finds the fields that it knows in a message of this build, encoded as it encodes
// them itself, and all other fields have higher numbers.
func TestEarlierBuildsFindTheirFieldsInOurMessages(t *testing.T) {
	for build, last := range lastFields {
		t.Run(build, func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile("testdata/landed/message-" + build + ".cbor")
			is.NoErr(err)
			message, err := decode(raw)
			is.NoErr(err)
			if message.Displaced == nil {
				message.Era, message.KnowsRollouts, message.Displaced = 3, true, []uint32{7}
			}
			message.Leaving = []uint32{8}
			message.Tenants = fairshare.Pack([]fairshare.Demand{{Service: 1, Demand: 7}, {Service: 1, Tenant: 2, Demand: 7}})
			ours, err := cbor.Marshal(message)
			is.NoErr(err)
			var before, now map[int]cbor.RawMessage
			is.NoErr(cbor.Unmarshal(raw, &before))
			is.NoErr(cbor.Unmarshal(ours, &now))
			is.Equal(len(before), last) // every field is set
			for field := 1; field <= last; field++ {
				is.Equal(now[field], before[field])
			}
			for field := range now {
				if _, known := before[field]; !known {
					is.True(field > last)
				}
			}
		})
	}
}
