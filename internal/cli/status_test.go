package cli

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

func TestGatewayStatusAsTableAndJSON(t *testing.T) {
	is := is.New(t)
	share := 12_000.0
	tenants := []gateway.TenantStatus{{Name: "school", Demand: 54_000, Share: &share, OwnDemand: 3000, OwnAdmitted: 700}, {Demand: 20}}
	raw, err := json.Marshal(gateway.Status{
		Role: gateway.RoleName, Ready: true, Version: 7, Gateways: 103, LoadAgeSeconds: 0.2,
		Services: []gateway.ServiceStatus{{Name: "chat", BackEnds: 2, Unusable: 1, InFlight: 3, RetryBudget: 2.5, Tenants: tenants}},
		BackEnds: []gateway.BackEndStatus{{ID: "i-1", Service: "chat", Zone: "a", Health: "healthy", Leaving: true, Own: 3, Estimate: 8,
			Work: &gateway.WorkStatus{UnreadTokens: 5100, CommittedTokens: 70_000, WaitSeconds: 0.12, Pace: 1.31}}, {ID: "i-2", Service: "mail"}},
	})
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(showStatus(&output, raw, outputTable))
	for _, expected := range []string{
		"103 gateways", "configuration 7", "loads 0.2s old", "chat", "healthy, leaving", "8.0 (3)",
		"school", "54000 (3000)", "12000", "(none)", "no limit", "5100", "70000", "0.12s", "1.31",
	} {
		is.True(strings.Contains(output.String(), expected))
	}
	output.Reset()
	is.NoErr(showStatus(&output, raw, outputJSON))
	var again gateway.Status
	is.NoErr(json.Unmarshal(output.Bytes(), &again))
	is.Equal(again.Gateways, 103)
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
