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

// The status names the largest tenants of a service and can be encoded, also while shares have no
// limit, which JSON can't express as a number.
func TestStatusShowsTheLargestTenants(t *testing.T) {
	is := is.New(t)
	log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
	t.Cleanup(log.Close)
	core := dispatch.New(dispatch.DefaultConfig())
	state := NewState(core, log)
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
