package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against evidence that is kept by the last part, which no two requests share, or that a tenant can direct at
// another part or service.
func TestPartFingerprintsIdentifySharedParts(t *testing.T) {
	is := is.New(t)
	list := PartFingerprints("s", []Part{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2}, {ID: "last", Tokens: 3}})
	is.Equal(len(list), 2)
	is.True(list[0] != list[1])
	is.Equal(PartFingerprints("s", []Part{{ID: "b", Tokens: 9}, {ID: "x"}})[0], list[1]) // wherever the part stands
	is.True(PartFingerprints("t", []Part{{ID: "b"}, {ID: "x"}})[0] != list[1])
	is.True(partFingerprint("sa", "b") != partFingerprint("s", "ab"))
	is.Equal(len(PartFingerprints("s", []Part{{ID: "only"}})), 0)
}

func TestParseParts(t *testing.T) {
	is := is.New(t)
	is.Equal(ParseParts("5c1e:800,91bd:410"), []Part{{ID: "5c1e", Tokens: 800}, {ID: "91bd", Tokens: 410}})
	for _, bad := range []string{"", "5c1e", "5c1e:x", ":8", "5c1e:-1", "5c1e:1,,"} {
		is.Equal(len(ParseParts(bad)), 0)
	}
}
