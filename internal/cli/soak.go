package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/soak"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// soakFlags are the flags of `harriernotch soak`.
type soakFlags struct {
	options      soak.Options
	minutes      float64
	seeds        int
	program      string
	olderProgram string
	directory    string
	kinds        []string
}

func newSoakCommand(protocol wire.Protocol) *cobra.Command {
	flags := soakFlags{options: soak.DefaultOptions()}
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run gateways as processes under random faults and check every promise",
		Long: "Starts gateways on loopback between stand-ins of the store, back ends and callers, and injects faults " +
			"from outside: signals, link faults, a store and back ends that misbehave, configuration changes. " +
			"The exit code is 0 only if no promise was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runSoak(ctx, cmd.OutOrStdout(), protocol, flags)
		},
	}
	f := command.Flags()
	f.Uint64Var(&flags.options.Seed, "seed", 1, "the first seed; the same seed draws the same faults")
	f.IntVar(&flags.seeds, "seeds", 1, "the number of seeds to run, one after the other")
	f.Float64Var(&flags.minutes, "minutes", 1, "how long faults are injected in each run")
	f.IntVar(&flags.options.Gateways, "gateways", flags.options.Gateways, "the number of gateways, one process each")
	f.IntVar(&flags.options.BackEnds, "back-ends", flags.options.BackEnds, "the number of back ends")
	f.IntVar(&flags.options.Callers, "callers", flags.options.Callers, "callers")
	f.StringSliceVar(&flags.kinds, "kinds", nil, "draw only these kinds of faults, such as "+string(soak.EvacuateZone)+" (default: all)")
	f.StringSliceVar(&flags.options.Disable, "break", nil, "switch off mechanisms of the gateways; the run is then expected to find a violation")
	f.BoolVar(&flags.options.Backups, "backups", false, "the back ends are engines that back up streams to each other, and gateways back up every stream that may not be repeated")
	f.StringVar(&flags.program, "program", "bin/harriernotchd", "the gateways' program")
	f.IntVar(&flags.options.Versions, "versions", 0, "number of software versions of the back ends (default: drawn from the seed)")
	f.StringVar(&flags.olderProgram, "older", "", "another build of the program that alternates with it, as in an upgrade and its rollback")
	f.StringVar(&flags.directory, "folder", "", "the folder for settings and logs (default: a temporary folder, removed if no promise was broken)")
	return command
}

func (f soakFlags) check() error {
	if f.options.Versions < 0 {
		return failure.New(failure.InvalidRequest, "--versions is below 0; give the number of software versions, or leave it out")
	}
	o := f.options
	if o.Gateways < 1 || o.BackEnds < 2 || o.Callers < 1 || f.seeds < 1 || !(f.minutes > 0) {
		return failure.New(failure.InvalidRequest, "gateways, callers, seeds and minutes must be above 0, and back ends at least 2")
	}
	known := append(soak.Kinds(), soak.NamedKinds()...)
	for _, kind := range f.kinds {
		if !slices.Contains(known, soak.Kind(kind)) {
			return failure.New(failure.InvalidRequest, fmt.Sprintf("--kinds: %q is unknown; name some of %v", kind, known))
		}
	}
	return nil
}

func runSoak(ctx context.Context, output io.Writer, protocol wire.Protocol, flags soakFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	for _, kind := range flags.kinds {
		flags.options.Kinds = append(flags.options.Kinds, soak.Kind(kind))
	}
	if flags.olderProgram != "" {
		flags.options.Kinds = withoutRollouts(flags.options.Kinds)
		flags.options.Versions = 1 // an older build resumes streams at any version
	}
	broken := 0
	for range flags.seeds {
		result, err := runSoakSeed(ctx, output, protocol, flags)
		if err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			broken++
		}
		flags.options.Seed++
	}
	if broken > 0 {
		return failure.New(failure.Internal, fmt.Sprintf("%d of %d seeds broke a promise", broken, flags.seeds))
	}
	return nil
}

// withoutRollouts removes the kinds of faults that move a service to another version. An older
// build may not have the settings for it, and doesn't start with unknown settings.
func withoutRollouts(kinds []soak.Kind) []soak.Kind {
	if len(kinds) == 0 {
		kinds = soak.Kinds()
	}
	return slices.DeleteFunc(kinds, func(kind soak.Kind) bool { return kind == soak.MoveService || kind == soak.MoveUnattended })
}

// soakFolderMode is the mode of a folder that the soak makes: its logs are for its user only.
const soakFolderMode = 0o700

// runSoakSeed runs the soak for one seed and prints the result.
func runSoakSeed(ctx context.Context, output io.Writer, protocol wire.Protocol, flags soakFlags) (soak.Result, error) {
	folder, err := makeSoakFolder(flags.directory)
	if err != nil {
		return soak.Result{}, err
	}
	environment, err := soak.NewProcesses(protocol, flags.program, folder)
	if err != nil {
		return soak.Result{}, failure.Wrap(failure.InvalidRequest, err, "--program; build it with `go build -o bin/ ./cmd/...`")
	}
	if flags.olderProgram != "" {
		if err := environment.UseOlder(flags.olderProgram); err != nil {
			return soak.Result{}, failure.Wrap(failure.InvalidRequest, err, "--older; build it in a work tree of its commit")
		}
	}
	flags.options.Duration = time.Duration(flags.minutes * float64(time.Minute))
	result, err := soak.Run(ctx, flags.options, environment)
	if err != nil {
		return result, err
	}
	if len(result.Violations) == 0 && flags.directory == "" {
		_ = os.RemoveAll(folder) // a folder that remains does no harm
	}
	return result, printSoak(output, result, folder)
}

// makeSoakFolder returns the folder for settings and logs, which it makes unless it is there; without a
// directory it makes a temporary one.
func makeSoakFolder(directory string) (string, error) {
	if directory == "" {
		return os.MkdirTemp("", "harriernotch-soak-")
	}
	if err := os.MkdirAll(directory, soakFolderMode); err != nil {
		return "", failure.Wrap(failure.InvalidRequest, err, "--folder; name a folder, or one that can be made")
	}
	return directory, nil
}

func printSoak(output io.Writer, result soak.Result, folder string) error {
	verdict := "no promise broken"
	if len(result.Violations) > 0 {
		verdict = "BROKEN, logs in " + folder
	}
	if _, err := fmt.Fprintf(output, "seed %d: %d faults, %d requests, %d served, %d of unknown outcome: %s\n",
		result.Seed, result.Faults, result.Requests, result.Served, result.Unknown, verdict); err != nil {
		return err
	}
	if result.Interrupted > 0 {
		if _, err := fmt.Fprintf(output, "  of %d streams with a backup that a crash interrupted, %d were answered whole\n", result.Interrupted, result.Survived); err != nil {
			return err
		}
	}
	if result.TakenUp > 0 {
		if _, err := fmt.Fprintf(output, "  of %d streams that callers took up at undisturbed gateways, %d went on\n", result.TakenUp, result.WentOn); err != nil {
			return err
		}
	}
	if len(result.Violations) == 0 {
		return nil
	}
	for _, struck := range result.FaultLog {
		if _, err := fmt.Fprintf(output, "  %s\n", struck); err != nil {
			return err
		}
	}
	for _, promise := range slices.Sorted(maps.Keys(result.Counts)) {
		if _, err := fmt.Fprintf(output, "  %s: %d times\n", promise, result.Counts[promise]); err != nil {
			return err
		}
	}
	for _, violation := range result.Violations {
		if _, err := fmt.Fprintf(output, "  %8.3f s %s: %s\n", violation.At.Seconds(), violation.Promise, violation.Detail); err != nil {
			return err
		}
	}
	return nil
}
