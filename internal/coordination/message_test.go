package coordination

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/membership"
)

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	message := Message{
		From: "router-1", Number: 7, ConfirmedAgeMillis: neverConfirmed, Stamp: 5, Echo: 4, Want: true,
		Records: []membership.Record{{ID: "e1", State: membership.StateLeaving, Load: 3, AgeMillis: 12}},
		Bundle:  []byte("raw"),
	}
	raw, err := message.Encode()
	is.NoErr(err)
	decoded, err := DecodeMessage(raw)
	is.NoErr(err)
	is.Equal(decoded, message)
}

func FuzzDecodeMessage(f *testing.F) {
	raw, err := Message{From: "router-1", Records: []membership.Record{{ID: "e1"}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x9f}, 64))
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := DecodeMessage(raw)
		if err != nil {
			return
		}
		if len(message.Records) > maxRecordsPerMessage {
			t.Fatal("the decoded message has more records than the limit")
		}
		if _, err := message.Encode(); err != nil {
			t.Fatalf("the decoded message can't be encoded: %v", err)
		}
	})
}
