package origins

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Guards against messages that gateways of this build and of later ones understand differently: the bytes are
// those that this build writes with every field set, and one field more, which a later build may add.
func TestMessagesKeepTheirForm(t *testing.T) {
	is := is.New(t)
	query := queryMessage{
		Records:  []dispatch.OriginRecord{{Key: 7, Origin: dispatch.StreamOrigin{Service: "s", Version: "v1"}, LifeMillis: 900}},
		Question: &dispatch.OriginQuestion{Key: 8, Route: "chat", Service: "s"},
	}
	raw, err := cbor.Marshal(query)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(raw), "a20181a3010702a2016173026276310319038402a30108026463686174036173")
	extended := append([]byte{0xa3}, raw[1:]...)
	extended = append(extended, 0x18, 0x63, 0x01) // field 99
	var decoded queryMessage
	is.NoErr(cbor.Unmarshal(extended, &decoded))
	is.Equal(decoded, query)

	answer := answerMessage{Answer: &dispatch.OriginAnswer{Recorded: &dispatch.StreamOrigin{Service: "s", Version: "v1"}, Uniform: true, OnlyVersion: "v1", Mixed: true}}
	raw, err = cbor.Marshal(answer)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(raw), "a101a401a20161730262763102f50362763104f5")
}
