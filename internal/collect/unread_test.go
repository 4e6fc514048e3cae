package collect

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// Guards against unread tokens that are attributed to another back end of the message.
func TestUnreadTokensAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counts []dispatch.Count
		for range rapid.IntRange(0, 20).Draw(t, "count") {
			count := dispatch.Count{Key: rapid.Uint32Range(0, 1<<dispatch.CountKeyBits-1).Draw(t, "key"), Requests: 1}
			if rapid.Bool().Draw(t, "any unread") {
				count.Unread = rapid.Uint32Range(1, maxSentUnread).Draw(t, "unread")
			}
			counts = append(counts, count)
		}
		read, err := unpackCounts(pack(counts), packUnread(counts))
		if err != nil || !slices.Equal(read, counts) {
			t.Fatalf("%v: %v, want %v", err, read, counts)
		}
	})
}

// Guards against a stated prompt of any length that makes the message of a gateway invalid, or an answer
// too long.
func TestSentUnreadTokensAreLimited(t *testing.T) {
	is := is.New(t)
	counts := []dispatch.Count{{Key: 1, Unread: 1<<32 - 1}}
	is.Equal(len(packUnread(counts)), 2)
	read, err := unpackCounts(pack(counts), packUnread(counts))
	is.NoErr(err)
	is.Equal(read[0].Unread, uint32(maxSentUnread))
}

// Guards against a message of a faulty or damaged peer that makes a gateway panic or yields unread tokens
// out of range.
func FuzzUnpackUnread(f *testing.F) {
	counts := []dispatch.Count{{Key: 1, Requests: 2, Unread: 3}, {Key: 2}, {Key: 3, Unread: 70_000}}
	f.Add([]byte(packUnread(counts)))
	f.Add([]byte{3, 2, 2})
	f.Fuzz(func(t *testing.T, raw []byte) {
		read, err := unpackCounts(pack(counts), packedUnread(raw))
		if err != nil {
			return
		}
		for _, each := range read {
			if each.Unread > maxCount {
				t.Fatalf("%v is out of range", each)
			}
		}
	})
}
