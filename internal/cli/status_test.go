package cli

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/intake"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

func TestGatewayStatusAsTableAndJSON(t *testing.T) {
	is := is.New(t)
	share, room := 12_000.0, 56.0
	tenants := []gateway.TenantStatus{{Name: "school", Demand: 54_000, Share: &share, OwnDemand: 3000, OwnAdmitted: 700}, {Demand: 20}}
	raw, err := json.Marshal(gateway.Status{
		Role: gateway.RoleName, Ready: true, Version: 7, Gateways: 103, LoadAgeSeconds: 0.2,
		Services: []gateway.ServiceStatus{{Name: "chat", BackEnds: 2, Unusable: 1, InFlight: 3, RetryBudget: 2.5, Tenants: tenants,
			Refusals: []gateway.RefusalStatus{{Reason: "lost_draw", PerSecond: 3.25}, {Reason: "excess", PerSecond: 0.5}}, BacklogCallers: 41, RetryAfterSeconds: 7.5}},
		BackEnds: []gateway.BackEndStatus{{ID: "i-1", Service: "chat", Zone: "a", Health: "healthy", Leaving: true, Own: 3, Estimate: 8, RoomLeft: &room,
			Work: &gateway.WorkStatus{UnreadTokens: 5100, OwnUnreadTokens: 900, CommittedTokens: 70_000, WaitSeconds: 0.12, Pace: 1.31}}, {ID: "i-2", Service: "mail"}},
	})
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(showStatus(&output, raw, outputTable))
	for _, expected := range []string{
		"103 gateways", "configuration 7", "loads 0.2s old", "chat", "healthy, leaving", "8.0 (3)",
		"school", "54000 (3000)", "12000", "(none)", "no limit", "5100 (900)", "70000", "0.12s", "1.31",
		"BACKLOG", "41", "7.5s", "REFUSED HERE", "lost_draw", "3.25", "excess", "0.50", "ROOM", "56",
	} {
		is.True(strings.Contains(output.String(), expected))
	}
	output.Reset()
	is.NoErr(showStatus(&output, raw, outputJSON))
	var again gateway.Status
	is.NoErr(json.Unmarshal(output.Bytes(), &again))
	is.Equal(again.Gateways, 103)
	is.Equal(again.Services[0].Refusals, []gateway.RefusalStatus{{Reason: "lost_draw", PerSecond: 3.25}, {Reason: "excess", PerSecond: 0.5}})
	is.Equal(again.Services[0].BacklogCallers, 41.0)
	is.Equal(again.Services[0].RetryAfterSeconds, 7.5)
	is.Equal(*again.BackEnds[0].RoomLeft, room)
	is.Equal(again.BackEnds[0].Work.OwnUnreadTokens, 900)
}

// earlierStatus is the status of a gateway of an earlier build, without reasons of refusals.
const earlierStatus = `{"role":"gateway","gateways":103,"reader":false,"store_age_seconds":0.5,"load_age_seconds":0.2,"ready":true,"draining":false,
	"version":7,"services":[{"name":"chat","retry_budget":2.5,"back_ends":2,"unusable":1,"under_way":3}],
	"back_ends":[{"id":"i-1","service":"chat","address":"10.0.0.1:1","zone":"a","leaving":false,"health":"healthy","own":3,"estimate":8,
	"work":{"streams":8,"unread_tokens":5100,"committed_tokens":70000,"wait_seconds":0.12,"pace":1.31}}]}`

// Guards against a command that fails on the status of an earlier build, or shows an empty table of
// refusals: machines are replaced one after the other.
func TestStatusOfEarlierBuildIsShown(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	is.NoErr(showStatus(&output, json.RawMessage(earlierStatus), outputTable))
	for _, expected := range []string{"103 gateways", "chat", "healthy", "8.0 (3)", "5100 (0)", "70000", "0.12s", "1.31"} {
		is.True(strings.Contains(output.String(), expected))
	}
	is.True(!strings.Contains(output.String(), "REFUSED HERE"))
}

// Guards against a field that changes its name or its type: the command of an earlier build finds all
// fields that it knows, and ignores the others.
func TestEarlierBuildsFindTheirFieldsInOurStatus(t *testing.T) {
	is := is.New(t)
	var status gateway.Status
	is.NoErr(json.Unmarshal([]byte(earlierStatus), &status))
	room := 56.0
	status.Services[0].Refusals = []gateway.RefusalStatus{{Reason: "no_room", PerSecond: 1}}
	status.Services[0].BacklogCallers, status.Services[0].RetryAfterSeconds = 41, 7.5
	status.BackEnds[0].RoomLeft, status.BackEnds[0].Work.OwnUnreadTokens = &room, 900
	raw, err := json.Marshal(status)
	is.NoErr(err)
	var before, now map[string]any
	is.NoErr(json.Unmarshal([]byte(earlierStatus), &before))
	is.NoErr(json.Unmarshal(raw, &now))
	checkContains(t, "status", now, before)
}

// checkContains checks that the value has all fields and elements of the earlier one, with the same values.
func checkContains(t *testing.T, path string, value, earlier any) {
	switch earlier := earlier.(type) {
	case map[string]any:
		fields, _ := value.(map[string]any)
		for name, each := range earlier {
			checkContains(t, path+"."+name, fields[name], each)
		}
	case []any:
		list, _ := value.([]any)
		for i, each := range earlier {
			if i >= len(list) {
				t.Fatalf("%s has %d elements", path, len(list))
			}
			checkContains(t, path, list[i], each)
		}
	default:
		if value != earlier {
			t.Errorf("%s is %v, was %v", path, value, earlier)
		}
	}
}

func TestGatewayStatusShowsRollout(t *testing.T) {
	is := is.New(t)
	raw, err := json.Marshal(gateway.Status{
		Role: gateway.RoleName, Era: 3,
		Rollouts: []gateway.RolloutStatus{{
			Service: "chat", Target: "v2", State: "in_progress", Abandoned: true, Sent: 900, Exposed: 41, AgeSeconds: 4, DurationSeconds: 12,
			Finding: &rollout.Finding{Measure: "failed", Bad: 14, Answers: 37, StandingBad: 6, StandingAnswers: 410, Ratio: 11.2},
			Waits:   []rollout.Wait{rollout.WaitStanding},
			Routes:  []gateway.RolloutRouteStatus{{Route: "r-chat", Share: 0.05, Failed: 14, Answers: 37, StandingFailed: 6, StandingAnswers: 410}},
		}},
	})
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(showStatus(&output, raw, outputTable))
	for _, expected := range []string{
		"era 3", "chat moves to v2: in_progress, the candidate was found bad, 4.0s of 12.0s, 41 of 900 attempts",
		"14 of 37 answers failed", "waits for requests that end at the standing version", "r-chat", "6 of 410",
	} {
		is.True(strings.Contains(output.String(), expected))
	}
}

func TestRouterStatusAsTable(t *testing.T) {
	is := is.New(t)
	raw, err := json.Marshal(daemon.Status{Role: "router", Node: "r1", Bundle: 4})
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(showStatus(&output, raw, outputTable))
	is.True(strings.Contains(output.String(), "router r1"))
}

func TestUnknownOutputFormatIsRefused(t *testing.T) {
	is := is.New(t)
	command := newStatusCommand()
	command.SetArgs([]string{"--output", "xml"})
	command.SilenceUsage, command.SilenceErrors = true, true
	err := command.Execute()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `write "table" or "json"`))
}

func TestGatewayStatusShowsConnectionsOfClients(t *testing.T) {
	is := is.New(t)
	listeners := []intake.ListenerStatus{{Name: "callers", Open: 12, Resting: 5, Max: 1950}, {Name: "admin", Max: 105}}
	raw, err := json.Marshal(daemon.GatewayStatus{
		Status: gateway.Status{Role: gateway.RoleName}, Connections: intake.Status{HeadBytes: 3 << 10, Listeners: listeners},
	})
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(showStatus(&output, raw, outputTable))
	is.True(strings.Contains(output.String(), "clients' connections: callers 12 of 1950 (5 resting), admin 0 of 105 (0 resting); their heads take 3 KB"))
}
