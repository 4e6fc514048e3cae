package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/intake"
)

// adminTimeout is the timeout of a request to a node's admin listener.
const adminTimeout = 5 * time.Second

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func newStatusCommand() *cobra.Command {
	var admin, output string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the fleet as one node sees it: members, health, loads, versions",
		Example: `  harriernotch status --admin 127.0.0.1:17200
  harriernotch status --admin 10.1.0.40:8220 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != outputTable && output != outputJSON {
				return failure.New(failure.InvalidSettings, fmt.Sprintf("--output %q is unknown; write %q or %q", output, outputTable, outputJSON))
			}
			var raw json.RawMessage
			if err := getJSON("http://"+admin+"/status", &raw); err != nil {
				return err
			}
			return showStatus(cmd.OutOrStdout(), raw, output)
		},
	}
	command.Flags().StringVar(&admin, "admin", "127.0.0.1:17200", "a node's admin listener")
	command.Flags().StringVar(&output, "output", outputTable, `"table" or "json"`)
	return command
}

// getJSON gets a page of a node's admin listener and decodes it into target.
func getJSON(url string, target any) error {
	client := &http.Client{Timeout: adminTimeout}
	response, err := client.Get(url)
	if err != nil {
		return failure.Wrap(failure.BackendUnreachable, err, "no admin listener answers at the address of --admin; see listen.admin in the node's settings")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return failure.New(failure.BackendUnreachable, url+" answered "+response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return errors.Wrap(err, "read "+url)
	}
	return nil
}

// showStatus prints the status of a node of any role.
func showStatus(output io.Writer, raw json.RawMessage, format string) error {
	if format == outputJSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(raw)
	}
	var head struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return errors.Wrap(err, "read the status")
	}
	if head.Role == gateway.RoleName {
		var status daemon.GatewayStatus
		if err := json.Unmarshal(raw, &status); err != nil {
			return errors.Wrap(err, "read the gateway's status")
		}
		return printGateway(output, status)
	}
	var status daemon.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return errors.Wrap(err, "read the node's status")
	}
	return printStatus(output, status)
}

func printGateway(output io.Writer, status daemon.GatewayStatus) error {
	_, err := fmt.Fprintf(output, "gateway: ready %v, draining %v, configuration %d (keys %s), %d gateways, reads the store %v, store answered %.1fs ago (era %d), loads %.1fs old\n\n",
		status.Ready, status.Draining, status.Version, cmp.Or(status.Keys, catalog.KeyPolicyUnknown.String()), status.Gateways, status.Reader, status.StoreAgeSeconds, status.Era, status.LoadAgeSeconds)
	if err != nil {
		return err
	}
	for _, each := range status.Rollouts {
		if err := printRollout(output, each); err != nil {
			return err
		}
	}
	if err := printConnections(output, status.Connections); err != nil {
		return err
	}
	if err := printExceptions(output, status.Status); err != nil {
		return err
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tBACK ENDS\tUNUSABLE\tUNDER WAY HERE\tRETRY BUDGET\tBACKLOG\tRETRY AFTER")
	for _, service := range status.Services {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%.0f\t%.1fs\n", service.Name, service.BackEnds, service.Unusable, service.InFlight, service.RetryBudget, service.BacklogCallers, service.RetryAfterSeconds)
	}
	printRefusals(table, status.Services)
	printTenants(table, status.Services)
	printBackEnds(table, status.BackEnds)
	return table.Flush()
}

// printConnections prints what a gateway holds for its clients. A gateway of an earlier build doesn't tell it.
func printConnections(output io.Writer, status intake.Status) error {
	if len(status.Listeners) == 0 {
		return nil
	}
	var parts []string
	for _, each := range status.Listeners {
		parts = append(parts, fmt.Sprintf("%s %d of %d (%d resting)", each.Name, each.Open, each.Max, each.Resting))
	}
	_, err := fmt.Fprintf(output, "clients' connections: %s; their heads take %d KB\n\n", strings.Join(parts, ", "), status.HeadBytes>>10)
	return err
}

// printExceptions prints the withheld requests, the unreadable objects of the store and the evacuated
// zones.
func printExceptions(output io.Writer, status gateway.Status) error {
	if len(status.Withheld) > 0 {
		if _, err := fmt.Fprintf(output, "withheld requests, which crash back ends: %s\n\n", strings.Join(status.Withheld, ", ")); err != nil {
			return err
		}
	}
	for _, each := range status.Unreadable {
		if _, err := fmt.Fprintf(output, "can't be read in the store: %s %s at era %d, revision %d, %s\n\n", each.Kind, each.Name, each.Era, each.Revision, each.Reason); err != nil {
			return err
		}
	}
	if len(status.Evacuated) > 0 {
		if _, err := fmt.Fprintf(output, "evacuated zones, whose back ends get nothing new: %s\n\n", strings.Join(status.Evacuated, ", ")); err != nil {
			return err
		}
	}
	return nil
}

// printBackEnds prints the back ends with their health, load and, of engines, room and work.
func printBackEnds(table io.Writer, backEnds []gateway.BackEndStatus) {
	_, _ = fmt.Fprintln(table, "\t\t\t\t\nBACK END\tSERVICE\tZONE\tHEALTH\tLOAD (HERE)\tROOM\tUNREAD (HERE)\tMEMORY\tWAIT\tPACE")
	for _, each := range backEnds {
		health := each.Health
		if each.Leaving {
			health += ", leaving"
		}
		if each.Evacuated {
			health += ", evacuated"
		}
		if each.WarmsUp {
			health += ", warming up"
		}
		room := ""
		if each.RoomLeft != nil {
			room = fmt.Sprintf("%.0f", *each.RoomLeft)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f (%d)\t%s\t%s\n", each.ID, each.Service, each.Zone, health, each.Estimate, each.Own, room, workColumns(each.Work))
	}
}

// printRefusals prints how many requests per second the gateway refuses for lack of a back end with
// room, by reason.
func printRefusals(table io.Writer, services []gateway.ServiceStatus) {
	var rows []string
	for _, service := range services {
		for _, refusal := range service.Refusals {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%.2f", refusal.Reason, service.Name, refusal.PerSecond))
		}
	}
	printSection(table, "REFUSED HERE\tSERVICE\tPER SECOND", rows)
}

// printTenants prints the largest tenants of each service whose tenants have fair shares. Rates are
// in tokens of work per second.
func printTenants(table io.Writer, services []gateway.ServiceStatus) {
	var rows []string
	for _, service := range services {
		for _, tenant := range service.Tenants {
			name, share := cmp.Or(tenant.Name, "(none)"), "no limit"
			if tenant.Share != nil {
				share = fmt.Sprintf("%.0f", *tenant.Share)
			}
			rows = append(rows, fmt.Sprintf("%s\t%s\t%.0f (%.0f)\t%s\t%.0f", name, service.Name, tenant.Demand, tenant.OwnDemand, share, tenant.OwnAdmitted))
		}
	}
	printSection(table, "TENANT\tSERVICE\tDEMAND (HERE)\tSHARE\tADMITTED HERE", rows)
}

// printSection prints an empty line, the header and the rows, or nothing if there are no rows.
func printSection(table io.Writer, header string, rows []string) {
	if len(rows) == 0 {
		return
	}
	_, _ = fmt.Fprintf(table, "\t\t\t\t\n%s\n%s\n", header, strings.Join(rows, "\n"))
}

// workColumns returns the columns of a table for the work of an engine, in tokens, its predicted
// wait for the first token, and its pace. They are empty for other back ends.
func workColumns(work *gateway.WorkStatus) string {
	if work == nil {
		return "\t\t\t"
	}
	return fmt.Sprintf("%d (%d)\t%d\t%.2fs\t%.2f", work.UnreadTokens, work.OwnUnreadTokens, work.CommittedTokens, work.WaitSeconds, work.Pace)
}

func printStatus(output io.Writer, status daemon.Status) error {
	confirmed := "never"
	if status.ConfirmedSeconds >= 0 {
		confirmed = fmt.Sprintf("%.1fs ago", status.ConfirmedSeconds)
	}
	_, err := fmt.Fprintf(output, "%s %s: ready %v, bundle %d (confirmed %s), %d control links\n\n",
		status.Role, status.Node, status.Ready, status.Bundle, confirmed, status.Links)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "GROUP\tNODE\tHEALTH\tZONE\tBUNDLE\tLOAD\tHEARD")
	printNodes(table, "routers", status.Routers)
	for _, pool := range status.Pools {
		printNodes(table, fmt.Sprintf("%s (mean %.2f)", pool.Name, pool.Mean), pool.Members)
	}
	return table.Flush()
}

func printNodes(table io.Writer, group string, nodes []daemon.NodeStatus) {
	for _, node := range nodes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%.1fs\n",
			group, node.ID, node.Health, node.Zone, node.Bundle, node.Load, node.AgeSeconds)
	}
}

// printRollout prints the progress of a service's rollout and the evidence for its state.
func printRollout(output io.Writer, rollout gateway.RolloutStatus) error {
	state := rollout.State
	if rollout.Abandoned {
		state += ", the candidate was found bad"
	}
	_, err := fmt.Fprintf(output, "%s moves to %s: %s, %.1fs of %.1fs, %d of %d attempts at the candidate, %d under way at the standing version\n",
		rollout.Service, rollout.Target, state, rollout.AgeSeconds, rollout.DurationSeconds, rollout.Exposed, rollout.Sent, rollout.InFlight)
	if err != nil {
		return err
	}
	if found := rollout.Finding; found != nil {
		if _, err := fmt.Fprintf(output, "  found bad: %d of %d answers %s, %d of %d usual, log of the likelihood ratio %.1f\n",
			found.Bad, found.Answers, found.Measure, found.StandingBad, found.StandingAnswers, found.Ratio); err != nil {
			return err
		}
	}
	for _, wait := range rollout.Waits {
		if _, err := fmt.Fprintf(output, "  waits for %s\n", wait); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  ROUTE\tSHARE\tDOUBT\tFAILED\tSLOW\tFAILED BEFORE\tSLOW BEFORE")
	for _, route := range rollout.Routes {
		_, _ = fmt.Fprintf(table, "  %s\t%.2f\t%.1f\t%d of %d\t%d of %d\t%d of %d\t%d of %d\n", route.Route, route.Share, route.Doubt,
			route.Failed, route.Answers, route.Slow, route.Timed, route.StandingFailed, route.StandingAnswers, route.StandingSlow, route.StandingTimed)
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}
