package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// adminTimeout bounds a call to a node's admin listener.
const adminTimeout = 5 * time.Second

func newStatusCommand() *cobra.Command {
	var admin, output string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the fleet as one node sees it: nodes, pools, loads, bundle numbers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status daemon.Status
			if err := getJSON("http://"+admin+"/status", &status); err != nil {
				return err
			}
			if output == "json" {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(status)
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
	command.Flags().StringVar(&admin, "admin", "127.0.0.1:17200", "a node's admin listener")
	command.Flags().StringVar(&output, "output", "table", `"table" or "json"`)
	return command
}

// getJSON reads a node's admin page.
func getJSON(url string, target any) error {
	client := &http.Client{Timeout: adminTimeout}
	response, err := client.Get(url)
	if err != nil {
		return failure.Wrap(failure.BackendUnreachable, err, "--admin names no listener that answers; see listen.admin in the node's settings")
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
