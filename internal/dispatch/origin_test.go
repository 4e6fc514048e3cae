package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// testStreamLife is the longest time after which a stream of the tests' route can be resumed.
const testStreamLife = 8*time.Second + originMargin

// chatRoute returns a route of resumable streams to the services.
func chatRoute(services ...string) *catalog.Route {
	route := resumableStream(3)
	route.Name, route.Timeout, route.Targets = "chat", 8*time.Second, nil
	for _, service := range services {
		route.Targets = append(route.Targets, catalog.Target{Service: service, Weight: 1})
	}
	return route
}

// originCore returns a core that has known the back ends and the route since start.
func originCore(list []catalog.BackEnd, route *catalog.Route) *Core {
	core := newCore(list)
	core.SetRoutes(start, []catalog.Route{*route})
	return core
}

// beginStream begins a stream and passes its first event on.
func beginStream(t *testing.T, core *Core, now time.Time, route *catalog.Route, id string) (*Exchange, Send) {
	t.Helper()
	made := request(route, id, Part{ID: "shared-" + id, Tokens: 100})
	made.Deadline, made.Tenant = now.Add(8*time.Second), "tenant"
	x, decision := core.Begin(now, made)
	if decision.Send == nil {
		t.Fatalf("stream %s didn't begin: %v", id, decision.GiveUp)
	}
	passEvents(core, now, x, 1)
	return x, *decision.Send
}

func questionOf(id string) OriginQuestion {
	return OriginQuestion{Key: OriginKeyOf("tenant", id), Route: "chat", Service: "s"}
}

func TestOriginsAreRecordedOnlyWhileVersionsMayDiffer(t *testing.T) {
	is := is.New(t)
	route := chatRoute("s")
	core := originCore(versionedBackEnds(4, "v1"), route)
	beginStream(t, core, start, route, "early")
	is.Equal(len(core.TakeOrigins()), 1) // another version may have served until now

	settled := start.Add(longestStreamLife)
	beginStream(t, core, settled, route, "a")
	beginStream(t, core, settled, route, "b")
	is.Equal(len(core.TakeOrigins()), 0)

	core.SetBackEnds(settled, versionedBackEnds(4, "v1", "v2"))
	records := core.TakeOrigins()
	is.Equal(len(records), 2) // the streams in flight are recorded once a second version serves
	for _, record := range records {
		is.Equal(record.Origin, StreamOrigin{Service: "s", Version: "v1"})
	}
	_, sent := beginStream(t, core, settled, route, "c")
	records = core.TakeOrigins()
	is.Equal(len(records), 1)
	is.Equal(records[0].Origin.Version, sent.BackEnd.Version)
	is.True(time.Duration(records[0].LifeMillis)*time.Millisecond >= 8*time.Second) // until the deadline

	core.SetBackEnds(settled.Add(time.Second), versionedBackEnds(4, "v2"))
	beginStream(t, core, settled.Add(2*time.Second), route, "d")
	is.Equal(len(core.TakeOrigins()), 1) // streams of v1 may still be resumed
	beginStream(t, core, settled.Add(time.Second+testStreamLife), route, "e")
	is.Equal(len(core.TakeOrigins()), 0)
}

// Guards against streams of an earlier target of a route that pass for streams of the present one.
func TestOriginsAreRecordedAfterARouteChanges(t *testing.T) {
	is := is.New(t)
	route, changed := chatRoute("s"), chatRoute("other")
	core := originCore(versionedBackEnds(4, "v1"), route)
	settled := start.Add(longestStreamLife)
	beginStream(t, core, settled, route, "a")
	core.SetRoutes(settled, []catalog.Route{*changed})
	records := core.TakeOrigins()
	is.Equal(len(records), 1)
	is.Equal(records[0].Origin.Service, "s")

	resumed := request(changed, "b")
	resumed.Deadline = settled.Add(8 * time.Second)
	resumed.Origin = &records[0].Origin
	_, decision := core.Begin(settled, resumed)
	is.Equal(decision.GiveUp.Kind, failure.StreamVersionGone) // at once; the route leads elsewhere now
}

func TestStreamIsResumedAtTheServiceThatBeganIt(t *testing.T) {
	is := is.New(t)
	route := chatRoute("other", "s")
	core := originCore(versionedBackEnds(4, "v1", "v2"), route)
	for i := range 10 {
		resumed := request(route, fmt.Sprint(i))
		resumed.Origin = &StreamOrigin{Service: "s", Version: "v2"}
		_, decision := core.Begin(start, resumed)
		is.Equal(decision.Send.BackEnd.Version, "v2")
	}
}

// A stream that can go on nowhere is refused at once, with a true reason.
func TestResumptionIsRefusedAtOnceIfItsVersionIsGone(t *testing.T) {
	list := versionedBackEnds(4, "v1", "v2")
	changes := map[string]func(*catalog.BackEnd){
		"replaced": func(b *catalog.BackEnd) { b.ID, b.Version = b.ID+"-new", "v3" },
		"leaving":  func(b *catalog.BackEnd) { b.Leaving = true },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := chatRoute("s")
			core := originCore(list, route)
			x, sent := beginStream(t, core, start, route, "a")
			changed := versionedBackEnds(4, "v1", "v2")
			for i := range changed {
				if changed[i].Version == sent.BackEnd.Version {
					change(&changed[i])
				}
			}
			core.SetBackEnds(start, changed)
			is.Equal(breakOff(core, start, x).GiveUp.Kind, failure.StreamVersionGone)
			resumed := request(route, "b")
			resumed.Origin = &StreamOrigin{Service: "s", Version: sent.BackEnd.Version}
			_, decision := core.Begin(start, resumed)
			is.Equal(decision.GiveUp.Kind, failure.StreamVersionGone)
		})
	}
}

func TestUniformityIsReliedOnOnlyWhenItIsCertain(t *testing.T) {
	route := chatRoute("s")
	settled := start.Add(longestStreamLife)
	fresh := time.Second
	t.Run("settled", func(t *testing.T) {
		is := is.New(t)
		answer := originCore(versionedBackEnds(4, "v1"), route).AnswerOrigin(settled, questionOf("a"), fresh)
		is.True(answer.Uniform && !answer.Mixed)
		is.Equal(answer.OnlyVersion, "v1")
	})
	t.Run("earlier timeouts unknown", func(t *testing.T) {
		is := is.New(t)
		core := originCore(versionedBackEnds(4, "v1"), route)
		answer := core.AnswerOrigin(start.Add(testStreamLife), questionOf("a"), fresh)
		is.True(!answer.Uniform && !answer.Mixed) // it can't tell how long streams lasted before its start
		core.SetBackEnds(start.Add(time.Second), versionedBackEnds(4, "v2"))
		answer = core.AnswerOrigin(settled, questionOf("a"), fresh)
		is.True(answer.Uniform && answer.OnlyVersion == "v2") // by the timeout that it has known all the time
	})
	t.Run("just started", func(t *testing.T) {
		is := is.New(t)
		answer := originCore(versionedBackEnds(4, "v1"), route).AnswerOrigin(start.Add(time.Second), questionOf("a"), fresh)
		is.True(!answer.Uniform && !answer.Mixed) // it can't tell
	})
	t.Run("the list is old", func(t *testing.T) {
		answer := originCore(versionedBackEnds(4, "v1"), route).AnswerOrigin(settled, questionOf("a"), time.Minute)
		is.New(t).True(!answer.Uniform)
	})
	t.Run("two versions", func(t *testing.T) {
		is := is.New(t)
		answer := originCore(versionedBackEnds(4, "v1", "v2"), route).AnswerOrigin(settled, questionOf("a"), fresh)
		is.True(!answer.Uniform && answer.Mixed)
	})
	t.Run("two versions a moment ago", func(t *testing.T) {
		is := is.New(t)
		core := originCore(versionedBackEnds(4, "v1", "v2"), route)
		core.SetBackEnds(settled, versionedBackEnds(4, "v2"))
		is.True(core.AnswerOrigin(settled.Add(time.Second), questionOf("a"), fresh).Mixed)
		is.True(core.AnswerOrigin(settled.Add(testStreamLife), questionOf("a"), fresh).Uniform)
	})
	t.Run("a moment without back ends", func(t *testing.T) {
		core := originCore(versionedBackEnds(4, "v1"), route)
		core.SetBackEnds(settled, nil)
		core.SetBackEnds(settled.Add(time.Second), versionedBackEnds(4, "v1"))
		is.New(t).True(!core.AnswerOrigin(settled.Add(2*time.Second), questionOf("a"), fresh).Uniform)
	})
	t.Run("unknown route", func(t *testing.T) {
		is := is.New(t)
		question := questionOf("a")
		question.Route = "another"
		answer := originCore(versionedBackEnds(4, "v1"), route).AnswerOrigin(settled, question, fresh)
		is.True(!answer.Uniform && !answer.Mixed)
	})
}

func TestRecordsAreKeptUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	core := originCore(versionedBackEnds(4, "v1", "v2"), chatRoute("s"))
	origin := StreamOrigin{Service: "s", Version: "v1"}
	core.KeepOrigins(start, []OriginRecord{{Key: OriginKeyOf("tenant", "a"), Origin: origin, LifeMillis: 3000}})
	is.Equal(*core.AnswerOrigin(start.Add(2999*time.Millisecond), questionOf("a"), 0).Recorded, origin)
	is.True(core.AnswerOrigin(start.Add(3*time.Second), questionOf("a"), 0).Recorded == nil)
	is.True(core.AnswerOrigin(start, questionOf("b"), 0).Recorded == nil)
	is.True(core.AnswerOrigin(start, OriginQuestion{Key: OriginKeyOf("another tenant", "a")}, 0).Recorded == nil)
	core.KeepOrigins(start.Add(time.Minute), []OriginRecord{{Key: 1, Origin: origin, LifeMillis: 3000}})
	is.Equal(core.origins.records.Len(), 1) // the expired one is dropped
	for i := range 2 * maxOrigins {
		core.KeepOrigins(start, []OriginRecord{{Key: OriginKey(i), Origin: origin, LifeMillis: 1 << 60}})
	}
	is.Equal(core.origins.records.Len(), maxOrigins)
}

// A stream that is taken up a second time is found under the ID of the first attempt and of the second.
func TestResumedStreamIsRecordedUnderBothAttempts(t *testing.T) {
	is := is.New(t)
	route := chatRoute("s")
	core := originCore(versionedBackEnds(4, "v1", "v2"), route)
	resumed := request(route, "second")
	resumed.Tenant, resumed.Resumes, resumed.Origin = "tenant", "first", &StreamOrigin{Service: "s", Version: "v1"}
	x, decision := core.Begin(start, resumed)
	is.True(decision.Send != nil)
	passEvents(core, start, x, 1)
	for _, id := range []string{"first", "second"} {
		is.Equal(core.AnswerOrigin(start, questionOf(id), 0).Recorded, resumed.Origin)
	}
	is.Equal(len(core.TakeOrigins()), 2)
}

func TestResolveOrigin(t *testing.T) {
	v1, v2 := StreamOrigin{Service: "s", Version: "v1"}, StreamOrigin{Service: "s", Version: "v2"}
	uniform := func(version string) OriginAnswer { return OriginAnswer{Uniform: true, OnlyVersion: version} }
	recorded := func(origin StreamOrigin) OriginAnswer { return OriginAnswer{Recorded: &origin, Mixed: true} }
	mixed, unsure := OriginAnswer{Mixed: true}, OriginAnswer{}
	tests := map[string]struct {
		own    OriginAnswer
		others []OriginAnswer
		asked  int
		origin StreamOrigin
		source OriginSource
	}{
		"own record":                     {recorded(v1), nil, 0, v1, OriginOwnRecord},
		"a peer's record":                {mixed, []OriginAnswer{mixed, recorded(v2)}, 4, v2, OriginPeerRecord},
		"a record goes before one view":  {uniform("v1"), []OriginAnswer{uniform("v1"), recorded(v2)}, 4, v2, OriginPeerRecord},
		"nobody knows":                   {mixed, []OriginAnswer{mixed, mixed}, 4, StreamOrigin{}, OriginUnknown},
		"one version":                    {uniform("v1"), []OriginAnswer{uniform("v1"), unsure}, 4, v1, OriginUniform},
		"one version, told by a peer":    {unsure, []OriginAnswer{unsure, uniform("v1")}, 4, v1, OriginUniform},
		"a peer has seen another":        {uniform("v1"), []OriginAnswer{uniform("v1"), mixed}, 4, StreamOrigin{}, OriginUnknown},
		"views differ":                   {uniform("v1"), []OriginAnswer{uniform("v2")}, 4, StreamOrigin{}, OriginUnknown},
		"cut off from all":               {uniform("v1"), nil, 4, StreamOrigin{}, OriginUnknown},
		"views of all differ":            {uniform("v1"), []OriginAnswer{uniform("v2")}, 1, StreamOrigin{}, OriginUnknown},
		"peers of an older build":        {uniform("v1"), []OriginAnswer{unsure, unsure}, 4, v1, OriginUniform},
		"cut off with one of four":       {uniform("v1"), []OriginAnswer{uniform("v1")}, 4, StreamOrigin{}, OriginUnknown},
		"cut off with two of five":       {uniform("v1"), []OriginAnswer{uniform("v1"), unsure}, 5, StreamOrigin{}, OriginUnknown},
		"the only gateway":               {uniform("v1"), nil, 0, v1, OriginUniform},
		"the only gateway, just started": {unsure, nil, 0, StreamOrigin{}, OriginUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			origin, source := ResolveOrigin(questionOf("a"), test.own, test.others, test.asked)
			is.Equal(source, test.source)
			is.Equal(origin, test.origin)
		})
	}
}

// During a rollout a stream that has begun goes on at its own side, and nowhere once its candidate was
// abandoned.
func TestStreamsKeepTheirSideDuringARollout(t *testing.T) {
	is := is.New(t)
	config := DefaultConfig()
	config.Zone, config.Rollout = "z", rollout.Limits{Share: 0.1, Extra: 50}
	core := New(config)
	list := versionedBackEnds(8, "v1", "v2")
	core.SetBackEnds(start, list)
	route := chatRoute("s")
	core.SetRoutes(start, []catalog.Route{*route})
	order := catalog.Rollout{Service: "s", Target: "v2", Duration: time.Minute}
	core.SetRollouts(start, []catalog.Rollout{order}, nil)
	for _, version := range []string{"v1", "v2"} {
		for i := range 10 {
			resumed := request(route, fmt.Sprint(version, i))
			resumed.Origin = &StreamOrigin{Service: "s", Version: version}
			x, decision := core.Begin(start, resumed)
			is.Equal(decision.Send.BackEnd.Version, version)
			core.Done(start, x)
		}
	}
	order.State = rollout.Reverted
	core.SetRollouts(start, []catalog.Rollout{order}, nil)
	resumed := request(route, "late")
	resumed.Origin = &StreamOrigin{Service: "s", Version: "v2"}
	_, decision := core.Begin(start, resumed)
	is.Equal(decision.GiveUp.Kind, failure.StreamVersionGone)
}

// Guards against a fleet that forgets what it knew when its gateways restart one after the other.
func TestUniformityIsLearnedFromOthers(t *testing.T) {
	is := is.New(t)
	route := chatRoute("s")
	core := originCore(versionedBackEnds(4, "v1"), route)
	now := start.Add(time.Second)
	questions := core.UnsettledRoutes(now)
	is.Equal(questions, []OriginQuestion{{Route: "chat", Service: "s"}})
	core.SettleRoute(now, questions[0], OriginAnswer{})
	core.SettleRoute(now, questions[0], OriginAnswer{Uniform: true, OnlyVersion: "v2"})
	is.True(!core.AnswerOrigin(now, questions[0], 0).Uniform)
	core.SettleRoute(now, questions[0], OriginAnswer{Uniform: true, OnlyVersion: "v1"})
	is.True(core.AnswerOrigin(now, questions[0], 0).Uniform)
	is.Equal(len(core.UnsettledRoutes(now)), 0)

	core.SetBackEnds(now, versionedBackEnds(4, "v1", "v2"))
	core.SetBackEnds(now, versionedBackEnds(4, "v1"))
	is.Equal(len(core.UnsettledRoutes(now)), 0) // it has seen a change itself
	core.SettleRoute(now, questions[0], OriginAnswer{Uniform: true, OnlyVersion: "v1"})
	is.True(core.AnswerOrigin(now, questions[0], 0).Mixed)
}

// Guards against gateways that are cut off together and take what they know for all there is.
func TestListAgeOfGatewaysThatAreCutOff(t *testing.T) {
	tests := map[string]struct{ storeAge, contactAge, age time.Duration }{
		"in touch":                          {400 * time.Millisecond, 900 * time.Millisecond, 400 * time.Millisecond},
		"cut off from others and the store": {3 * time.Second, 3 * time.Second, 3 * time.Second},
		"the store answers nobody":          {3 * time.Second, 200 * time.Millisecond, 200 * time.Millisecond},
		"the store answers nobody for long": {6 * time.Second, 200 * time.Millisecond, 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(ListAge(test.storeAge, test.contactAge), test.age)
		})
	}
}
