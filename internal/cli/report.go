package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/harriernotch/harriernotch/internal/slo"
)

// reportFlags are the flags of `harriernotch report slo`.
type reportFlags struct {
	admins []string
	goals  slo.Goals
	plot   string
}

func newReportCommand() *cobra.Command {
	command := &cobra.Command{Use: "report", Short: "Reports on a running fleet"}
	var flags reportFlags
	burn := &cobra.Command{
		Use:   "slo",
		Short: "Show the burn rate of the error budget of each tenant, pool and priority, and since when it burns",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return reportBurn(cmd.OutOrStdout(), flags) },
	}
	f := burn.Flags()
	f.StringSliceVar(&flags.admins, "admin", []string{"127.0.0.1:17201"}, "the routers' admin listeners; list all of them")
	f.Float64Var(&flags.goals.Fraction, "fraction", 0.95, "the bundle's objectives.fraction")
	f.Float64Var(&flags.goals.AnsweredWhole, "answered-whole", 0.999, "the bundle's objectives.answered_whole")
	f.StringVar(&flags.plot, "plot", "", "also plot the highest burn rates over time to this PNG file")
	command.AddCommand(burn)
	return command
}

func reportBurn(output io.Writer, flags reportFlags) error {
	var snapshots []slo.Snapshot
	for _, admin := range flags.admins {
		var snapshot slo.Snapshot
		if err := getJSON("http://"+admin+"/slo", &snapshot); err != nil {
			return err
		}
		snapshots = append(snapshots, snapshot)
	}
	report := slo.Merge(time.Now(), flags.goals, snapshots)
	if err := printBurn(output, report); err != nil {
		return err
	}
	if flags.plot == "" {
		return nil
	}
	return plotBurn(flags.plot, flags.goals, report)
}

func priorityName(priority uint8) string {
	if priority == 0 {
		return "interactive"
	}
	return "batch"
}

func printBurn(output io.Writer, report slo.Report) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "TENANT\tPOOL\tPRIORITY\tREQUESTS\tREFUSED")
	for _, window := range slo.Windows {
		_, _ = fmt.Fprintf(table, "\tLATENCY %v\tWHOLE %v", window, window)
	}
	_, _ = fmt.Fprintln(table, "\tBURNING SINCE")
	for _, burn := range report.Burns {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d", burn.Tenant, burn.Pool, priorityName(burn.Priority), burn.Requests, burn.Refused)
		for window := range slo.Windows {
			_, _ = fmt.Fprintf(table, "\t%.2f\t%.2f", burn.Latency[window], burn.Whole[window])
		}
		since := "-"
		if !burn.Since.IsZero() {
			since = burn.Since.UTC().Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(table, "\t%s\n", since)
	}
	_, _ = fmt.Fprintln(table, "\nPOOL\tPRIORITY\tANSWERED\tFIRST TOKEN P95\tBETWEEN TOKENS P95")
	for _, p := range report.Percentiles {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%v\n", p.Pool, priorityName(p.Priority), p.TotalAnswered, p.FirstTokenP95, p.BetweenTokensP95)
	}
	return table.Flush()
}

// plottedBurns is the maximum number of lines in a plot.
const plottedBurns = 6

// plotBurn plots the first plottedBurns burns of the report, which are the fastest, with one point
// per time slot.
func plotBurn(path string, goals slo.Goals, report slo.Report) error {
	p := plot.New()
	p.Title.Text = "Burn of the error budget (1 is what the goal allows)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Y.Label.Text = "burn"
	var lines []any
	for i, burn := range report.Burns {
		if i == plottedBurns {
			break
		}
		lines = append(lines, burn.Tenant+" "+burn.Pool+" "+priorityName(burn.Priority), burnPoints(goals, burn))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot the burn rates")
	}
	if err := p.Save(20*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return errors.Wrap(err, "--plot")
	}
	return nil
}

func burnPoints(goals slo.Goals, burn slo.Burn) plotter.XYs {
	points := make(plotter.XYs, 0, len(burn.Slots))
	for _, slot := range burn.Slots {
		points = append(points, plotter.XY{X: float64(slot.Start.Unix()), Y: slo.SlotBurn(goals, slot)})
	}
	return points
}
