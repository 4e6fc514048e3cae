package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

func TestPeerWithAListIsToldWhatItLacksAtOnce(t *testing.T) {
	is := is.New(t)
	m := meeting{peer: catalog.Digest{1}}
	lacking, digest := m.step(start, true)
	is.True(lacking)
	is.True(!digest) // it stood in the greeting
	lacking, _ = m.step(start, true)
	is.True(!lacking) // once
}

// Two gateways that start together tell each other digests, and no list.
func TestGatewaysThatStartTogetherTellNoLists(t *testing.T) {
	is := is.New(t)
	m := meeting{}
	lacking, digest := m.step(start, false)
	is.True(!lacking)
	is.True(digest)
	m.hear(catalog.Digest{1})
	lacking, digest = m.step(start.Add(time.Second), false)
	is.True(lacking) // what differs
	is.True(!digest)
}

func TestPeerThatReadsNoListIsToldAll(t *testing.T) {
	is := is.New(t)
	m := meeting{}
	m.step(start, true)
	lacking, _ := m.step(start.Add(listPatience-1), true)
	is.True(!lacking)
	lacking, _ = m.step(start.Add(listPatience), true)
	is.True(lacking)
}

func TestPeerThatAsksIsToldAllAtOnce(t *testing.T) {
	is := is.New(t)
	m := meeting{asks: true}
	lacking, _ := m.step(start, true)
	is.True(lacking)
}
