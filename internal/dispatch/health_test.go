package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUnreachableBackEndIsEjectedAndRetried(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	now := start
	dead := ""
	sentToDead := func() bool {
		x, decision := core.Begin(now, request(repeatable(2), now.String()))
		target := decision.Send.BackEnd.ID
		if dead == "" {
			dead = target
		}
		if target == dead {
			decision = core.NotConnected(now, x)
			is.True(decision.Send.BackEnd.ID != dead) // nothing was sent, so another one is tried at once
		}
		core.Answered(now, x, -1)
		core.Done(start, x)
		return target == dead
	}
	attempts := 0
	for range 2000 { // 20 seconds
		now = now.Add(10 * time.Millisecond)
		if sentToDead() {
			attempts++
		}
	}
	is.True(attempts >= 4) // it is tried again
	is.True(attempts <= 30)
	core.BackEndStatuses(now)
}

func TestBackEndIsEjectedOnlyWhenWorseThanItsPool(t *testing.T) {
	is := is.New(t)
	fail := func(bad map[string]bool) map[string]int {
		core := newCore(backEnds(4, 6))
		sent := map[string]int{}
		now := start
		for i := range 400 {
			now = now.Add(20 * time.Millisecond)
			x, decision := core.Begin(now, request(nonRepeatable(), fmt.Sprint(i)))
			id := decision.Send.BackEnd.ID
			sent[id]++
			if bad[id] {
				core.Failed(now, x)
			} else {
				core.Answered(now, x, -1)
			}
			core.Done(start, x)
		}
		return sent
	}
	one := fail(map[string]bool{"b01": true})
	is.True(one["b01"] < one["b00"]/2)
	all := fail(map[string]bool{"b00": true, "b01": true, "b02": true, "b03": true})
	is.True(all["b01"] > 70) // none is better, so none is ejected
}

func TestPathFailingEverywhereSpendsNoRetryBudget(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 6))
	retries := 0
	for range 20 {
		x, _ := core.Begin(start, request(repeatable(2), "same"))
		if core.Failed(start, x).Send != nil {
			retries++
			core.Failed(start, x)
		}
		core.Done(start, x)
	}
	is.True(retries <= 2)
}

// If most of a pool loses connections, the few members that seem healthy must not get all of
// its load.
func TestMostlyEjectedPoolIsUsedAsAWhole(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(10, 64))
	for i := range 9 {
		for range failuresToEject {
			core.members[fmt.Sprintf("b%02d", i)].health.connectionLost(start)
		}
	}
	sent := map[string]int{}
	for i := range 50 {
		_, decision := core.Begin(start, request(nonRepeatable(), fmt.Sprint(i)))
		sent[decision.Send.BackEnd.ID]++
	}
	is.True(sent["b09"] <= 10)
	core.members["b00"].health.connectFailed(start)
	_, decision := core.Begin(start, request(nonRepeatable(), "x"))
	is.True(decision.Send.BackEnd.ID != "b00") // it refuses connections
}

// A back end whose address is used by another one doesn't return under its ID. A list that still
// contains it, even for minutes, costs one attempt in all.
func TestDisplacedBackEndIsNotRetried(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	x, decision := core.Begin(start, request(repeatable(2), "first"))
	gone := decision.Send.BackEnd.ID
	is.True(core.Misdirected(start, x).Send != nil)
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		x, decision := core.Begin(now, request(repeatable(2), fmt.Sprint("r", i)))
		is.True(decision.Send.BackEnd.ID != gone)
		core.Answered(now, x, -1)
		core.Done(now, x)
	}
	moved := backEnds(2, 6)
	for i := range moved {
		moved[i].Address = fmt.Sprintf("10.9.0.%d:1", i+1)
	}
	core.SetBackEnds(start, moved)
	is.Equal(core.members[gone].health.status(start.Add(time.Minute)), OnTrial) // it has a new address
}

// Guards against an engine that stops answering while it is full: its load must not hide that for
// as long as callers wait, nor must a first token that waits for earlier prompts count as silence.
func TestBusyBackEndIsSilentLater(t *testing.T) {
	is := is.New(t)
	h := health{busy: true}
	h.sent(start)
	is.Equal(h.status(start.Add(silenceLimit+time.Millisecond)), Healthy)
	is.Equal(h.status(start.Add(busySilenceLimit+time.Millisecond)), Silent)
	h.busy = false
	is.Equal(h.status(start.Add(silenceLimit+time.Millisecond)), Silent)
}

// Guards against attempts that are given up at a full engine although its backlog explains the wait:
// they have lost their place there, and are refused elsewhere after more than a second.
func TestHeadTimeoutIsLongerAtBusyEngines(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(2)
	x := &Exchange{request: streamRequest("a"), service: "s"}
	x.request.Route = repeatable(2)
	m := core.pools["s"].members[0]
	idle := core.headTimeout(start, x, m)
	is.True(idle > 0 && idle < busySilenceLimit)
	m.own = m.backEnd.Slots
	is.Equal(core.headTimeout(start, x, m), busySilenceLimit)
}
