package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/failure"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func names(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("e%02d", i)
	}
	return list
}

func members(count int) []Member {
	list := make([]Member, count)
	for i, id := range names(count) {
		list[i] = Member{ID: id, Incarnation: 1}
	}
	return list
}

func TestRankIsStableUnderChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 20).Draw(t, "count"))
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(all).Draw(t, "gone")
		before := Rank(key, all)
		rest := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == removed })
		want := slices.DeleteFunc(before, func(id string) bool { return id == removed })
		if got := Rank(key, rest); !slices.Equal(got, want) {
			t.Fatalf("without %s: %v, want %v", removed, got, want)
		}
		if Owner(key, all) != Rank(key, all)[0] {
			t.Fatal("the owner is not ranked first")
		}
	})
}

func TestRankSpreadsEvenly(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 18000 {
		counts[Owner(fmt.Sprint("chat", i), names(18))]++
	}
	for _, count := range counts {
		is.True(count > 850 && count < 1150) // five standard deviations around 1000
	}
}

func TestTokenOfOtherTenantOrAlteredIsRejected(t *testing.T) {
	is := is.New(t)
	sealer := NewTokenSealer([]byte("key"))
	token := ChatToken{Chat: "c", Engine: "e1", Incarnation: 7, IssuedAt: 5, ContextTokens: 9}
	text := sealer.Seal("school", token)
	opened, err := sealer.Open("school", text)
	is.NoErr(err)
	is.Equal(opened, token)
	_, err = sealer.Open("other", text)
	is.Equal(failure.KindOf(err), failure.InvalidRequest)
	_, err = NewTokenSealer([]byte("other key")).Open("school", text)
	is.Equal(failure.KindOf(err), failure.InvalidRequest)
	altered := []byte(text)
	altered[10] ^= 1
	_, err = sealer.Open("school", string(altered))
	is.Equal(failure.KindOf(err), failure.InvalidRequest)
}

func FuzzOpenToken(f *testing.F) {
	sealer := NewTokenSealer([]byte("key"))
	good := sealer.Seal("school", ChatToken{Chat: "c", Engine: "e1"})
	f.Add(good)
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := sealer.Open("school", text)
		if err == nil && sealer.Seal("school", token) != text {
			t.Fatal("Open accepted a token that Seal didn't create")
		}
	})
}

func TestRouteFollowsTokenThenHash(t *testing.T) {
	is := is.New(t)
	ranked := Rank("chat", names(5))
	last := ranked[4]
	token := &ChatToken{Chat: "chat", Engine: last, Incarnation: 1}
	route := NewRoute(Request{ChatKey: "chat", Token: token}, members(5), PolicyTokenThenHash, nil)
	first, ok := route.Next(start)
	is.True(ok)
	is.Equal(first.BackEnd, last)
	is.True(first.Affine)
	second, _ := route.Next(start)
	is.Equal(second.BackEnd, ranked[0])
	is.True(!second.Affine)
}

func TestRouteIgnoresTokenOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	ranked := Rank("chat", names(5))
	token := &ChatToken{Chat: "chat", Engine: ranked[4], Incarnation: 9}
	route := NewRoute(Request{ChatKey: "chat", Token: token}, members(5), PolicyTokenThenHash, nil)
	first, _ := route.Next(start)
	is.Equal(first.BackEnd, ranked[0])
}

func TestRouteSkipsLeavingAndTriesDoubtfulLast(t *testing.T) {
	is := is.New(t)
	list := members(4)
	ranked := Rank("chat", names(4))
	for i := range list {
		switch list[i].ID {
		case ranked[0]:
			list[i].Health = HealthLeaving
		case ranked[1]:
			list[i].Health = HealthDoubtful
		}
	}
	route := NewRoute(Request{ChatKey: "chat"}, list, PolicyTokenThenHash, nil)
	var order []string
	for {
		attempt, ok := route.Next(start)
		if !ok {
			break
		}
		order = append(order, attempt.BackEnd)
	}
	is.Equal(order, []string{ranked[2], ranked[3], ranked[1]})
}

func TestRouteCarriesEvidenceAndPrefersMemberWithRoom(t *testing.T) {
	is := is.New(t)
	list := members(6)
	ranked := Rank("chat", names(6))
	for i := range list {
		list[i].LoadKnown = true
		list[i].Load = 10
		if list[i].ID == ranked[5] {
			list[i].Load = 2
		}
	}
	route := NewRoute(Request{ChatKey: "chat"}, list, PolicyTokenThenHash, nil)
	first, _ := route.Next(start)
	route.Refused(start, first.BackEnd, Refusal{Kind: failure.OverBound, Load: 10})
	second, _ := route.Next(start)
	is.Equal(second.BackEnd, ranked[5]) // the only one below the reported load
	is.Equal(second.ReportedLoads, []ReportedLoad{{BackEnd: ranked[0], Load: 10}})
}

func TestLeastLoadedMemberIsRetriedOnceWithAllEvidence(t *testing.T) {
	is := is.New(t)
	ranked := Rank("chat", names(2))
	route := NewRoute(Request{ChatKey: "chat"}, members(2), PolicyTokenThenHash, nil)
	for _, load := range []int{4, 9} {
		attempt, _ := route.Next(start)
		route.Refused(start, attempt.BackEnd, Refusal{Kind: failure.OverBound, Load: load})
	}
	again, ok := route.Next(start)
	is.True(ok)
	is.Equal(again.BackEnd, ranked[0])
	is.Equal(again.ReportedLoads, []ReportedLoad{{BackEnd: ranked[1], Load: 9}})
	route.Refused(start, again.BackEnd, Refusal{Kind: failure.OverBound, Load: 4})
	_, ok = route.Next(start)
	is.True(!ok) // once only
	is.Equal(route.Attempts(), 3)
}

func TestOwnedRequestIsSentOnlyToItsOwner(t *testing.T) {
	is := is.New(t)
	route := NewRoute(Request{Owner: "e02"}, members(5), PolicyTokenThenHash, nil)
	attempt, ok := route.Next(start)
	is.True(ok)
	is.Equal(attempt.BackEnd, "e02")
	_, ok = route.Next(start)
	is.True(!ok)
	is.Equal(route.GiveUp().Kind, failure.OwnerAway)
	route.Refused(start, "e02", Refusal{Kind: failure.LeaseLapsed, RetryAfter: time.Second})
	is.Equal(route.GiveUp().Kind, failure.LeaseLapsed)
}

func TestGiveUpReturnsShortestRetryAfter(t *testing.T) {
	is := is.New(t)
	route := NewRoute(Request{ChatKey: "chat"}, members(2), PolicyTokenThenHash, nil)
	for _, wait := range []time.Duration{3 * time.Second, time.Second} {
		attempt, _ := route.Next(start)
		route.Refused(start, attempt.BackEnd, Refusal{Kind: failure.OverBound, RetryAfter: wait})
	}
	is.Equal(route.GiveUp().Kind, failure.PoolExhausted)
	is.Equal(route.GiveUp().RetryDelay(), time.Second)
}
