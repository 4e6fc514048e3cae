package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// recordedMessages are messages as earlier builds wrote them, with every field set.
const recordedMessages = "testdata/landed/message-*.cbor"

// recordedTallies and recordedTenants are those in the messages of builds that know field 26.
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
			build := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(file), "message-"), ".cbor")
			last, known := lastFields[build]
			is.True(known) // the build's highest field number is listed
			// Builds that know field 26 (Leaving) were recorded with versions and tenants as well.
			knowsRollouts, knowsLeaving := last >= 25, last >= 26
			is.Equal(message.From, "g1")
			is.Equal(message.Peers, []Peer{{ID: "g2", Address: "10.0.0.2:2", AgeMillis: 5, StoreAgeMillis: 6, Zone: "z", Capacity: 30}})
			is.Equal(message.Version, uint64(7))
			is.True(message.WantDocument && message.KnowsEvacuations)
			is.Equal(len(message.Entries), 2)
			backEnd := catalog.BackEnd{
				ID: "b", Service: "s", Address: "10.0.1.1:1", Zone: "z", Slots: 64, Leaving: true, WarmUp: time.Second, Born: 17,
			}
			if knowsLeaving {
				backEnd.Version = "v2"
			}
			is.Equal(message.Entries[0].BackEnd, backEnd)
			is.Equal(message.Entries[1], catalog.Entry{BackEnd: catalog.BackEnd{ID: "c"}, Gone: true, Revision: 42, Era: message.Entries[1].Era})
			load := dispatch.Load{BackEnd: "b", Requests: 3}
			if build == "d855b8f" || build == "207f11e" {
				load.Unread = 70 // builds before d855b8f report none
			}
			is.Equal(message.Loads, []dispatch.Load{load})
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
			if build == "207f11e" {
				is.Equal(document.KeyPolicy(), catalog.KeysRequired) // builds before it don't state it
				is.Equal(len(document.Tenants), 0)
				is.Equal(message.PartCrashes, []dispatch.CrashRecord{{Fingerprint: 2, Incarnations: []uint32{1}, Evidence: []uint8{1}, LastAt: 5, Part: true, BegunAt: 7, Trials: 1}})
			}
			if knowsRollouts {
				is.Equal(message.Era, uint64(3))
				is.Equal(message.Rollouts[0].Target, "v2")
				is.True(message.KnowsRollouts)
				is.Equal(message.Marks[0].Order, uint32(5))
				is.Equal(len(message.Tallies), 1)
				is.Equal(message.Displaced, []uint32{7, 4_000_000_000})
			}
			if knowsLeaving {
				is.Equal(message.Tallies, recordedTallies)
				is.Equal(message.Leaving, []uint32{8})
				tenants, err := message.Tenants.Unpack()
				is.NoErr(err)
				is.Equal(tenants, recordedTenants)
				is.Equal(document.Services[0].CopyLifetime, 5*time.Second)
			}
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

// lastFields are the highest field numbers that the recorded builds know. No build has used number 27.
var lastFields = map[string]int{"018ec82": 19, "6219fa5": 25, "a0e46b0": 28, "d855b8f": 28, "207f11e": 29}

const unusedField = 27

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
			if message.Leaving == nil {
				message.Leaving = []uint32{8}
				message.Tenants = fairshare.Pack(recordedTenants)
			}
			ours, err := cbor.Marshal(message)
			is.NoErr(err)
			var before, now map[int]cbor.RawMessage
			is.NoErr(cbor.Unmarshal(raw, &before))
			is.NoErr(cbor.Unmarshal(ours, &now))
			for field := range before {
				is.True(field <= last)
			}
			for field := 1; field <= last; field++ {
				is.Equal(before[field] != nil, field != unusedField) // every field is set
				is.Equal(now[field], before[field])
			}
			is.Equal(now[unusedField], nil)
			for field := range now {
				if _, known := before[field]; !known {
					is.True(field > last)
				}
			}
		})
	}
}

// Guards against records of parts that an earlier build takes for records of contents, and against fields of records of
// contents that it doesn't know.
func TestCrashRecordsOfPartsHaveTheirOwnField(t *testing.T) {
	is := is.New(t)
	content := dispatch.CrashRecord{Fingerprint: 1, Incarnations: []uint32{1}, Evidence: []uint8{1}, LastAt: 5}
	part := dispatch.CrashRecord{Fingerprint: 2, Incarnations: []uint32{1}, Evidence: []uint8{1}, LastAt: 5, Part: true, BegunAt: 7, Trials: 1}
	var message Message
	message.Crashes, message.PartCrashes = splitCrashes([]dispatch.CrashRecord{part, content})
	raw, err := cbor.Marshal(message)
	is.NoErr(err)
	var earlier struct {
		Crashes []map[int]any `cbor:"19,keyasint"`
	}
	is.NoErr(cbor.Unmarshal(raw, &earlier))
	is.Equal(len(earlier.Crashes), 1)
	is.Equal(len(earlier.Crashes[0]), 4)
	decoded, err := decode(raw)
	is.NoErr(err)
	is.Equal(decoded.PartCrashes, []dispatch.CrashRecord{part})
}

// earlierConfiguration is the document as builds up to 7ad4b2a write and read it.
type earlierConfiguration struct {
	Version  uint64            `cbor:"1,keyasint"`
	Routes   []catalog.Route   `cbor:"2,keyasint"`
	Services []catalog.Service `cbor:"3,keyasint"`
	Tenants  []catalog.Tenant  `cbor:"4,keyasint"`
	Limits   earlierLimits     `cbor:"5,keyasint"`
}

// earlierLimits are the limits as builds up to c0e6191 write and read them.
type earlierLimits struct {
	MaxBodyBytes int64 `cbor:"1,keyasint,omitempty"`
}

// Guards against limits that an earlier build takes for another, or that it can't pass over.
func TestLimitsBesideEarlierBuilds(t *testing.T) {
	is := is.New(t)
	limits := catalog.Limits{MaxBodyBytes: 10, MaxHeaderBytes: 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 4 * time.Second}
	raw, err := cbor.Marshal(catalog.Configuration{Version: 7, Limits: limits})
	is.NoErr(err)
	var earlier earlierConfiguration
	is.NoErr(cbor.Unmarshal(raw, &earlier))
	is.Equal(earlier.Limits, earlierLimits{MaxBodyBytes: 10})
	var document catalog.Configuration
	is.NoErr(cbor.Unmarshal(raw, &document))
	is.Equal(document.Limits, limits)

	raw, err = cbor.Marshal(earlier)
	is.NoErr(err)
	document = catalog.Configuration{}
	is.NoErr(cbor.Unmarshal(raw, &document))
	is.Equal(document.Limits, catalog.Limits{MaxBodyBytes: 10})
	unset, err := cbor.Marshal(catalog.Limits{MaxBodyBytes: 10})
	is.NoErr(err)
	same, err := cbor.Marshal(earlierLimits{MaxBodyBytes: 10})
	is.NoErr(err)
	is.Equal(unset, same)
}

// Guards against a deployment that serves requests without keys during an upgrade. A document of an earlier build
// without tenants, or with an empty list, doesn't state whether requests need keys. A document of this build always
// does, and an earlier build decodes its other fields.
func TestKeyPolicyBesideEarlierBuilds(t *testing.T) {
	is := is.New(t)
	tenants := []catalog.Tenant{{Name: "t", Keys: []string{"k"}}}
	for _, each := range []struct {
		tenants []catalog.Tenant
		want    catalog.KeyPolicy
	}{{nil, catalog.KeyPolicyUnknown}, {[]catalog.Tenant{}, catalog.KeyPolicyUnknown}, {tenants, catalog.KeysRequired}} {
		raw, err := cbor.Marshal(earlierConfiguration{Version: 7, Tenants: each.tenants})
		is.NoErr(err)
		var document catalog.Configuration
		is.NoErr(cbor.Unmarshal(raw, &document))
		is.Equal(document.KeyPolicy(), each.want)
	}
	for _, stated := range []catalog.KeyPolicy{catalog.KeysRequired, catalog.KeysNotRequired} {
		raw, err := cbor.Marshal(catalog.Configuration{Version: 7, StatedKeyPolicy: stated})
		is.NoErr(err)
		var document catalog.Configuration
		is.NoErr(cbor.Unmarshal(raw, &document))
		is.Equal(document.KeyPolicy(), stated)
		var earlier earlierConfiguration
		is.NoErr(cbor.Unmarshal(raw, &earlier))
		is.Equal(earlier.Version, uint64(7))
		var fields map[int]cbor.RawMessage
		is.NoErr(cbor.Unmarshal(raw, &fields))
		is.Equal(fields[6], cbor.RawMessage{byte(stated)}) // the number and the values never change in meaning
	}
}
