package bundle

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/failure"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func document(backEnds ...string) string {
	text := "format = 1\n[[tenants]]\nname = \"t\"\nkey_sha256 = [\"" + keyHash + "\"]\n"
	text += "[[pools]]\nname = \"loans\"\nkind = \"service\"\npath_prefix = \"/loans/\"\n"
	for i, id := range backEnds {
		text += fmt.Sprintf("[[pools.back_ends]]\nid = %q\nagent = \"10.0.0.%d:7300\"\nzone = \"z\"\n", id, i+1)
	}
	return text
}

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune(seed)), ed25519.SeedSize)))
}

func publicKeys(keys ...ed25519.PrivateKey) []ed25519.PublicKey {
	var list []ed25519.PublicKey
	for _, key := range keys {
		list = append(list, key.Public().(ed25519.PublicKey))
	}
	return list
}

func signed(t testing.TB, number uint64, key ed25519.PrivateKey, text string) []byte {
	t.Helper()
	raw, err := Sign(Header{Number: number, Identifier: fmt.Sprint("id-", number)}, []byte(text), key)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestParseErrorNamesLineFieldAndRemedy(t *testing.T) {
	cases := map[string]struct {
		change func(string) string
		want   string
	}{
		"unknown key":   {func(s string) string { return strings.Replace(s, "kind =", "knid =", 1) }, "bundle.toml:7: pools.knid: unknown key; remove it or correct its spelling"},
		"bad kind":      {func(s string) string { return strings.Replace(s, `"service"`, `"server"`, 1) }, `bundle.toml:7: pools.0.kind: "server" is unknown; write "engine" or "service"`},
		"host name":     {func(s string) string { return strings.Replace(s, "10.0.0.1:7300", "host:7300", 1) }, `bundle.toml:11: pools.0.back_ends.0.agent: "host:7300" is not an IP address and port; write one such as "10.0.0.1:7300"`},
		"double id":     {func(s string) string { return strings.Replace(s, `"b"`, `"a"`, 1) }, `bundle.toml:14: pools.0.back_ends.1.id: "a" is used twice; choose distinct names`},
		"load multiple": {func(s string) string { return strings.Replace(s, "kind =", "load_multiple = 1.0\nkind =", 1) }, "bundle.toml:7: pools.0.load_multiple: 1 is out of range; write a value from 1.05 to 10"},
		"format":        {func(s string) string { return strings.Replace(s, "format = 1", "format = 2", 1) }, "bundle.toml:1: format: is 2; write format = 1"},
		"bad hash":      {func(s string) string { return strings.Replace(s, keyHash, "abc", 1) }, `bundle.toml:4: tenants.0.key_sha256: "abc" is not a SHA-256 hash; write 64 lower-case hex digits`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("bundle.toml", []byte(c.change(document("a", "b"))))
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

// Guards against a fleet that opens when its last tenant is removed: such an edit can be neither signed nor adopted.
func TestBundleWithoutTenantsIsRefused(t *testing.T) {
	is := is.New(t)
	tenant := "[[tenants]]\nname = \"t\"\nkey_sha256 = [\"" + keyHash + "\"]\n"
	for _, tenants := range []string{"", "[[tenants]]\nname = \"t\"\nkey_sha256 = []\n", "[[tenants]]\nname = \"t\"\n"} {
		text := strings.Replace(document("a"), tenant, tenants, 1)
		is.True(text != document("a"))
		_, err := Parse("bundle.toml", []byte(text))
		is.True(err != nil)
		_, err = Sign(Header{Number: 6, Identifier: "id-6"}, []byte(text), testKey('k'))
		is.Equal(failure.KindOf(err), failure.InvalidBundle)
	}
}

func TestAcceptorKeepsCurrentBundleOnRefusedOffer(t *testing.T) {
	is := is.New(t)
	key, untrusted := testKey('k'), testKey('s')
	acceptor := NewAcceptor(publicKeys(key))
	good := signed(t, 5, key, document("a"))
	_, err := acceptor.Offer(good)
	is.NoErr(err)
	altered := append([]byte(nil), good...)
	altered[len(altered)/2] ^= 1
	refusals := map[failure.Kind][][]byte{
		failure.BadSignature:  {signed(t, 6, untrusted, document("a"))},
		failure.StaleBundle:   {good, signed(t, 4, key, document("a"))},
		failure.InvalidBundle: {nil, []byte("junk"), make([]byte, MaxSize+1)},
	}
	for kind, list := range refusals {
		for _, raw := range list {
			_, err := acceptor.Offer(raw)
			is.Equal(failure.KindOf(err), kind)
			is.Equal(acceptor.Number(), uint64(5))
		}
	}
	_, err = acceptor.Offer(altered)
	is.True(err != nil) // an altered bundle is refused, with an error of any kind
	is.Equal(acceptor.Number(), uint64(5))
}

func TestAcceptorNumberNeverDecreases(t *testing.T) {
	key := testKey('k')
	var raws [][]byte
	for number := range 6 {
		raws = append(raws, signed(t, uint64(number+1), key, document("a")))
	}
	rapid.Check(t, func(t *rapid.T) {
		acceptor := NewAcceptor(publicKeys(key))
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			index := rapid.IntRange(0, len(raws)-1).Draw(t, "index")
			_, _ = acceptor.Offer(raws[index])
			highest = max(highest, uint64(index+1))
			if acceptor.Number() != highest {
				t.Fatalf("number %d in force after %d was offered", acceptor.Number(), highest)
			}
		}
	})
}

func TestLeaseExpiresWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	acceptor := NewAcceptor(publicKeys(testKey('k')))
	_, err := acceptor.Offer(signed(t, 1, testKey('k'), document("a")))
	is.NoErr(err)
	is.True(!acceptor.HoldsLease(start)) // never confirmed
	acceptor.Confirm(2, start)
	is.True(!acceptor.HoldsLease(start)) // another number was confirmed
	acceptor.Confirm(1, start)
	is.True(acceptor.HoldsLease(start.Add(defaultOwnershipLease)))
	is.True(!acceptor.HoldsLease(start.Add(defaultOwnershipLease + 1)))
	_, err = acceptor.Offer(signed(t, 2, testKey('k'), document("a")))
	is.NoErr(err)
	is.True(!acceptor.HoldsLease(start)) // the new number is not confirmed yet
}

// TestNoKeyHasTwoOwnersAtOnce publishes random changes of a member list. It checks that a node
// that missed some of them can't own a key that another back end owns by a newer version while
// the older node may still hold its lease.
func TestNoKeyHasTwoOwnersAtOnce(t *testing.T) {
	key := testKey('k')
	start := time.Unix(1_800_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var versions []*Bundle
		var published []time.Time
		now := start
		var previous *Bundle
		for i := range rapid.IntRange(2, 5).Draw(t, "versions") {
			members := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 4, rapid.ID[string]).Draw(t, "members")
			lease := rapid.SampledFrom([]string{"10s", "1m", "1h"}).Draw(t, "lease")
			text := document(members...) + "[control]\nownership_lease = \"" + lease + "\"\n"
			content, err := Parse("f", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			succession := SuccessionOf(previous, content, now)
			header := Header{Number: uint64(i + 1), Identifier: "x", SignedAtMillis: now.UnixMilli(), Handovers: succession.Handovers, StaleUntilMillis: succession.StaleUntil.UnixMilli()}
			raw, err := Sign(header, []byte(text), key)
			if err != nil {
				t.Fatal(err)
			}
			opened, err := Open(raw, publicKeys(key))
			if err != nil {
				t.Fatal(err)
			}
			versions = append(versions, opened)
			published = append(published, now.Add(time.Duration(rapid.IntRange(0, int(PublishSlack)).Draw(t, "slack"))))
			previous = opened
			now = published[i].Add(time.Duration(rapid.IntRange(0, int(2*time.Hour)).Draw(t, "gap")))
		}
		older := rapid.IntRange(0, len(versions)-2).Draw(t, "older")
		newer := rapid.IntRange(older+1, len(versions)-1).Draw(t, "newer")
		issued := start.Add(time.Duration(rapid.IntRange(0, int(6*time.Hour)).Draw(t, "issued")))
		value := rapid.StringN(1, 8, -1).Draw(t, "key")
		oldBundle, newBundle := versions[older], versions[newer]
		oldOwner := oldBundle.OwnerOf(oldBundle.Content.Pool("loans"), value, issued)
		newOwner := newBundle.OwnerOf(newBundle.Content.Pool("loans"), value, issued)
		if oldOwner == newOwner {
			return
		}
		// The older node was last confirmed before the next version was published. It accepts its
		// last key when its lease ends at the latest, and that key was issued at most one clock
		// error later.
		control := oldBundle.Content.Control
		lastTaken := published[older+1].Add(control.OwnershipLease.Std() + control.ClockError.Std())
		if !issued.After(lastTaken) {
			t.Fatalf("key issued at %v belongs to %s on number %d and to %s on number %d", issued, oldOwner, oldBundle.Number, newOwner, newBundle.Number)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document("a", "b")))
	f.Add([]byte("format = 1\n[[pools]]\n"))
	f.Add([]byte("[pools.x.y]\n[[pools.x.z]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		content, err := Parse("f", data)
		if (content == nil) == (err == nil) {
			t.Fatal("Parse must return either a document or an error")
		}
	})
}

func FuzzOpen(f *testing.F) {
	key := testKey('k')
	f.Add(signed(f, 1, key, document("a")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if opened, err := Open(raw, publicKeys(key)); err == nil && opened.Number == 0 {
			t.Fatal("a bundle without a number was opened")
		}
	})
}
