package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/simulation"
)

// simulateFlags are the flags of `harriernotch simulate`.
type simulateFlags struct {
	scenario, size, policy string
	seed                   uint64
	seeds                  int
	duration, warmup       time.Duration
	breaks                 string
	output                 string
	logPath                string
}

func newSimulateCommand() *cobra.Command {
	var flags simulateFlags
	command := &cobra.Command{
		Use:   "simulate",
		Short: "Run a simulated fleet under faults and check every promise",
		Long:  simulateHelp(),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runSimulate(cmd.OutOrStdout(), flags) },
	}
	f := command.Flags()
	f.StringVar(&flags.scenario, "scenario", "everything", "the scenario of faults")
	f.StringVar(&flags.size, "size", "small", "the size of the fleet")
	f.StringVar(&flags.policy, "policy", simulation.Policies()[0].Name, `the policy that selects back ends; "all" compares all policies`)
	f.Uint64Var(&flags.seed, "seed", 1, "the first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "the number of seeds to run")
	f.DurationVar(&flags.duration, "duration", 0, "simulated time after the warm-up (default: the scenario's)")
	f.DurationVar(&flags.warmup, "warmup", 0, "simulated time before the measurement starts (default: the scenario's)")
	f.StringVar(&flags.breaks, "break", "", "switch off one mechanism; the run is then expected to find a violation")
	f.StringVar(&flags.output, "output", "table", `"table" or "json"`)
	f.StringVar(&flags.logPath, "log", "", "write the event log of the last run to a file")
	return command
}

func simulateHelp() string {
	var text strings.Builder
	text.WriteString("The exit code is 0 only if no promise was broken.\n\nScenarios:\n")
	for _, scenario := range simulation.Scenarios() {
		fmt.Fprintf(&text, "  %-16s %s\n", scenario.Name, scenario.About)
	}
	text.WriteString("\nSizes:")
	for _, size := range simulation.Sizes() {
		text.WriteString(" " + size.Name)
	}
	text.WriteString("\nPolicies:")
	for _, policy := range simulation.Policies() {
		text.WriteString(" " + policy.Name)
	}
	text.WriteString("\nMechanisms for --break:")
	for _, name := range simulation.Mechanisms() {
		text.WriteString(" " + string(name))
	}
	return text.String()
}

func runSimulate(output io.Writer, flags simulateFlags) error {
	scenario, ok := simulation.ScenarioByName(flags.scenario)
	if !ok {
		return failure.New(failure.InvalidRequest, "--scenario: unknown; see --help for the list")
	}
	size, ok := simulation.SizeByName(flags.size)
	if !ok {
		return failure.New(failure.InvalidRequest, "--size: unknown; see --help for the list")
	}
	policies, err := selectPolicies(flags.policy)
	if err != nil {
		return err
	}
	if flags.breaks != "" && !slices.Contains(simulation.Mechanisms(), simulation.Mechanism(flags.breaks)) {
		return failure.New(failure.InvalidRequest, "--break: unknown; see --help for the list")
	}
	var results []simulation.Result
	for seed := flags.seed; seed < flags.seed+uint64(flags.seeds); seed++ {
		for _, policy := range policies {
			options := scenario.Options(seed, size, policy, flags.duration)
			if flags.warmup > 0 {
				options.Warmup = flags.warmup
			}
			options.Disabled = simulation.Mechanism(flags.breaks)
			result, err := runOne(options, flags.logPath)
			if err != nil {
				return err
			}
			results = append(results, result)
		}
	}
	if err := printResults(output, flags.output, results); err != nil {
		return err
	}
	return checkResults(results)
}

func selectPolicies(name string) ([]simulation.Policy, error) {
	if name == "all" {
		return simulation.Policies(), nil
	}
	policy, ok := simulation.PolicyByName(name)
	if !ok {
		return nil, failure.New(failure.InvalidRequest, "--policy: unknown; see --help for the list")
	}
	return []simulation.Policy{policy}, nil
}

func runOne(options simulation.Options, logPath string) (simulation.Result, error) {
	if logPath == "" {
		s, err := simulation.New(options)
		if err != nil {
			return simulation.Result{}, err
		}
		return s.Run(), nil
	}
	file, err := os.Create(logPath)
	if err != nil {
		return simulation.Result{}, errors.Wrap(err, "--log")
	}
	writer := bufio.NewWriter(file)
	options.Log = func(line string) { _, _ = fmt.Fprintln(writer, line) }
	s, err := simulation.New(options)
	if err != nil {
		return simulation.Result{}, err
	}
	result := s.Run()
	if err := writer.Flush(); err != nil {
		return result, errors.Wrap(err, "--log")
	}
	return result, file.Close()
}

// checkResults returns an error if any run broke a promise.
func checkResults(results []simulation.Result) error {
	broken := 0
	for _, result := range results {
		if result.Broken() {
			broken++
		}
	}
	if broken > 0 {
		return failure.New(failure.Internal, fmt.Sprintf("%d of %d runs broke a promise", broken, len(results)))
	}
	return nil
}

func printResults(output io.Writer, format string, results []simulation.Result) error {
	if format == "json" {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "POLICY\tSEED\tREQUESTS\tSERVED\tATTEMPTS\tREUSE\tTOKENS\tPEAK/MEAN\tP99\tWORST\tOVER NOW\tREFUSED\tUNKNOWN\tCONTROL B/s\tMSG/s\tPLATFORM/s\tFIRST TOKEN\tP95\tBROKEN")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.4f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.3f%%\t%.3f%%\t%.3f%%\t%.0f/%.0f/%.0f\t%.0f\t%.1f/%d\t%v\t%v\t%v\n",
			r.Policy, r.Seed, r.Requests, float64(r.Served)/float64(max(1, r.Requests)), r.AttemptsPerRequest, r.ReuseTurns, r.ReuseTokens,
			r.PeakOverMean, r.P99OverMean, r.PeakOverMeanWorst, 100*r.OverBoundStrict, 100*r.RefusedWithRoom, 100*r.UnknownOutcomeShare,
			r.ControlBytesMedian, r.ControlBytesP99, r.ControlBytesPeak, r.ControlMessagesP99, r.PlatformCallsMean, r.PlatformCallsPeak,
			r.FirstTokenMedian.Round(time.Millisecond), r.FirstTokenP95.Round(time.Millisecond), r.Counts)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		printViolations(output, r)
	}
	return nil
}

func printViolations(output io.Writer, r simulation.Result) {
	if !r.Broken() {
		return
	}
	_, _ = fmt.Fprintf(output, "\nseed %d, policy %s broke:\n", r.Seed, r.Policy)
	for _, violation := range r.Violations {
		_, _ = fmt.Fprintf(output, "  %s at %.3fs: %s\n", violation.Promise, violation.At.Seconds(), violation.Detail)
	}
	_, _ = fmt.Fprintln(output, "last events:")
	for _, line := range r.LastEvents {
		_, _ = fmt.Fprintln(output, "  "+line)
	}
}
