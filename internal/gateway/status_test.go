package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// newTestState returns a state with the default configuration but for the disabled mechanisms, whose
// log is discarded, and its core.
func newTestState(t *testing.T, disabled ...dispatch.Mechanism) (*dispatch.Core, *State) {
	t.Helper()
	log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
	t.Cleanup(log.Close)
	config := dispatch.DefaultConfig()
	config.Disabled = dispatch.Disabled{}
	for _, each := range disabled {
		config.Disabled[each] = true
	}
	core := dispatch.New(config)
	return core, NewState(core, log)
}

// The status names the largest tenants of a service and can be encoded, also while shares have no
// limit, which JSON can't express as a number.
func TestStatusShowsTheLargestTenants(t *testing.T) {
	is := is.New(t)
	core, state := newTestState(t)
	core.SetServices([]catalog.Service{{Name: "s", CacheTokens: 400_000}})
	core.SetBackEnds(state.clock.Now(), []catalog.BackEnd{{ID: "b", Service: "s", Slots: 4}})
	route := &catalog.Route{Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}
	send := func(tenant string, count int) {
		for i := range count {
			core.Begin(state.clock.Now(), dispatch.Request{
				ID: fmt.Sprint(tenant, i), Route: route, Tenant: tenant, PromptTokens: 900, Deadline: state.clock.Now().Add(time.Minute),
			})
		}
	}
	for i := range 10 {
		send(fmt.Sprint("tenant-", i), 1+i/9)
	}
	before := state.Status().Services[0].Tenants
	is.Equal(len(before), 8)
	is.Equal(before[0].Name, "tenant-9")
	is.True(before[0].Share == nil)
	send("tenant-9", 200)
	state.SetPeerDemands("g2", core.Demands(state.clock.Now()))
	after := state.Status().Services[0].Tenants
	is.True(after[0].Share != nil && *after[0].Share < after[0].Demand)
	_, err := json.Marshal(state.Status())
	is.NoErr(err)
}

// Guards against a status that leaves out why requests are refused, the backlog, the time to come back,
// or the room and the unread tokens of engines, and against room that it states for back ends that
// aren't engines.
func TestStatusShowsRefusals(t *testing.T) {
	is := is.New(t)
	core, state := newTestState(t, dispatch.AdmissionLottery) // no request is refused while there is room
	now := state.clock.Now()
	core.SetServices([]catalog.Service{{Name: "engines", CacheTokens: 400_000}, {Name: "plain"}})
	core.SetBackEnds(now, []catalog.BackEnd{{ID: "e", Service: "engines", Slots: 4}, {ID: "p", Service: "plain", Slots: 4}})
	begin := func(id, service string) {
		core.Begin(now, dispatch.Request{
			ID: id, Route: &catalog.Route{Targets: []catalog.Target{{Service: service, Weight: 1}}, MaxAttempts: 1},
			Parts: []dispatch.Part{{ID: "shared", Tokens: 700}, {ID: id, Tokens: 300}}, PromptTokens: 1000, Deadline: now.Add(time.Minute),
		})
	}
	begin("first", "engines")
	engine, plain := state.Status().BackEnds[0], state.Status().BackEnds[1]
	is.Equal(*engine.RoomLeft, 3.0)
	is.Equal(engine.Work.OwnUnreadTokens, 1000)
	is.Equal(engine.Work.UnreadTokens, 1000)
	is.Equal(plain.RoomLeft, nil)
	for i := range 100 {
		begin(fmt.Sprint(i), "engines")
	}
	service := state.Status().Services[0]
	is.Equal(len(service.Refusals), 1)
	is.Equal(service.Refusals[0].Reason, string(dispatch.RefusedNoRoom))
	is.True(service.Refusals[0].PerSecond > 1)
	is.True(service.BacklogCallers > 50)
	is.True(service.RetryAfterSeconds >= 0.5)
	is.Equal(len(state.Status().Services[1].Refusals), 0)
	gauges := state.Gauges().Services[0]
	is.True(gauges.Backlog > 50 && gauges.RetryAfter >= 500*time.Millisecond)
}
