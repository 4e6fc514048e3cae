package objectstore_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/objectstore"
	"github.com/harriernotch/harriernotch/internal/standin"
)

var key = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))

func trusted() []ed25519.PublicKey {
	return []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
}

func document(members ...string) []byte {
	text := "format = 1\n[[tenants]]\nname = \"t\"\nkey_sha256 = [\"" + bundle.HashKey("k") + "\"]\n" +
		"[[pools]]\nname = \"p\"\nkind = \"service\"\npath_prefix = \"/p/\"\n"
	for _, id := range members {
		text += fmt.Sprintf("[[pools.back_ends]]\nid = %q\nagent = \"10.0.0.1:7300\"\nzone = \"z\"\n", id)
	}
	return []byte(text)
}

func signed(t *testing.T, number uint64, identifier string, members ...string) []byte {
	t.Helper()
	header := bundle.Header{Number: number, Identifier: identifier, SignedAtMillis: time.Now().UnixMilli()}
	raw, err := bundle.Sign(header, document(members...), key)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestPublishWithTakenNumberConflicts(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform()
	publisher := objectstore.NewPublisher(store, trusted(), time.Now)
	_, err := publisher.Publish(t.Context(), signed(t, 1, "first", "a"))
	is.NoErr(err)
	_, err = publisher.Publish(t.Context(), signed(t, 2, "ours", "a"))
	is.NoErr(err)
	_, err = publisher.Publish(t.Context(), signed(t, 2, "theirs", "a"))
	is.Equal(failure.KindOf(err), failure.Conflict)
	is.True(strings.Contains(err.Error(), "sign your document again as number 3"))
	current, _, err := publisher.Current(t.Context())
	is.NoErr(err)
	is.Equal(current.Identifier, "ours")
}

// racingObjects runs race before the first write, so that another operator publishes between a read
// and a write.
type racingObjects struct {
	objectstore.Objects
	race func()
}

func (r *racingObjects) Put(ctx context.Context, name string, value []byte, expected uint64) (uint64, error) {
	if race := r.race; race != nil {
		r.race = nil
		race()
	}
	return r.Objects.Put(ctx, name, value, expected)
}

func TestWriteBetweenReadAndPublishConflicts(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform()
	other := objectstore.NewPublisher(store, trusted(), time.Now)
	racing := &racingObjects{Objects: store, race: func() {
		_, err := other.Publish(t.Context(), signed(t, 1, "theirs", "a"))
		is.NoErr(err)
	}}
	_, err := objectstore.NewPublisher(racing, trusted(), time.Now).Publish(t.Context(), signed(t, 1, "ours", "a"))
	is.Equal(failure.KindOf(err), failure.Conflict)
	is.True(strings.Contains(err.Error(), "another operator published number 1"))
}

func TestPublishReadsBackAfterLostAnswer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewPlatform()
		store.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		publisher := objectstore.NewPublisher(store, trusted(), time.Now)
		raw := signed(t, 1, "ours", "a")
		published, err := publisher.Publish(t.Context(), raw)
		is.NoErr(err)
		is.Equal(published.Number, uint64(1))
		again, err := publisher.Publish(t.Context(), raw) // publishing the same file again is idempotent
		is.NoErr(err)
		is.Equal(again.Number, uint64(1))
	})
}

func TestMemberChangeRequiresHandovers(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform()
	publisher := objectstore.NewPublisher(store, trusted(), time.Now)
	_, err := publisher.Publish(t.Context(), signed(t, 1, "first", "a", "b"))
	is.NoErr(err)
	_, err = publisher.Publish(t.Context(), signed(t, 2, "second", "a", "c"))
	is.Equal(failure.KindOf(err), failure.InvalidBundle)
	current, _, err := publisher.Current(t.Context())
	is.NoErr(err)
	content, err := bundle.Parse("f", document("a", "c"))
	is.NoErr(err)
	now := time.Now()
	succession := bundle.SuccessionOf(current, content, now)
	header := bundle.Header{Number: 2, Identifier: "third", SignedAtMillis: now.UnixMilli(), Handovers: succession.Handovers, StaleUntilMillis: succession.StaleUntil.UnixMilli()}
	raw, err := bundle.Sign(header, document("a", "c"), key)
	is.NoErr(err)
	late := objectstore.NewPublisher(store, trusted(), func() time.Time { return now.Add(time.Hour) })
	_, err = late.Publish(t.Context(), raw)
	is.Equal(failure.KindOf(err), failure.InvalidBundle) // signed too long ago
	_, err = publisher.Publish(t.Context(), raw)
	is.NoErr(err)
}

func TestHTTPClientImplementsObjectAPI(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	client := objectstore.NewHTTPClient(server.URL, nil)
	none, err := client.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(none.Version, uint64(0))
	version, err := client.Put(t.Context(), "k", []byte("v"), 0)
	is.NoErr(err)
	_, err = client.Put(t.Context(), "k", []byte("w"), 0)
	is.Equal(failure.KindOf(err), failure.Conflict)
	object, err := client.Watch(t.Context(), "k", 0, time.Second)
	is.NoErr(err)
	is.Equal(object, objectstore.Object{Value: []byte("v"), Version: version})
	_, err = client.Put(t.Context(), "big", make([]byte, objectstore.MaxValueSize+1), 0)
	is.Equal(failure.KindOf(err), failure.TooLarge)
	store.SetFaults(standin.PlatformFaults{Down: true})
	_, err = client.Get(t.Context(), "k")
	is.Equal(failure.KindOf(err), failure.PlatformUnavailable)
}
