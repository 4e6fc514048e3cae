package cli

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/loadgen"
)

func newLoadCommand() *cobra.Command {
	var config loadgen.Config
	command := &cobra.Command{
		Use:   "load",
		Short: "Send multi-turn chats to a fleet on loopback and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadgen.CheckTargets(config.Targets); err != nil {
				return err
			}
			if config.Rate <= 0 || config.Chats <= 0 || config.Duration <= 0 {
				return failure.New(failure.InvalidRequest, "--rate, --chats and --duration must be above 0")
			}
			result := loadgen.Run(cmd.Context(), config)
			printLoad(cmd.OutOrStdout(), result)
			if result.Unclear > 0 {
				return failure.New(failure.Internal, "some answers were neither whole nor a clear error")
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&config.Targets, "target", []string{"http://127.0.0.1:18080"}, "a router's URL; may be repeated")
	flags.StringVar(&config.Key, "key", "demo-key", "the tenant's bearer key")
	flags.StringVar(&config.Model, "model", "demo-model", "the model to ask")
	flags.Float64Var(&config.Rate, "rate", 50, "the number of turns started per second")
	flags.IntVar(&config.Chats, "chats", 100, "the number of chats among which the turns are divided")
	flags.DurationVar(&config.Duration, "duration", 10*time.Second, "how long new turns are started")
	flags.IntVar(&config.StreamEvery, "stream-every", 2, "stream one turn in this many; 0 streams none")
	flags.IntVar(&config.MaxTokens, "max-tokens", 32, "the maximum length of an answer in tokens")
	return command
}

func printLoad(output io.Writer, result loadgen.Result) {
	_, _ = fmt.Fprintf(output, "whole %d, visibly broken %d, unclear %d\n", result.Whole, result.Broken, result.Unclear)
	kinds := make([]string, 0, len(result.Failed))
	for kind := range result.Failed {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		_, _ = fmt.Fprintf(output, "clear error %s: %d\n", kind, result.Failed[kind])
	}
	_, _ = fmt.Fprintf(output, "returning turns %d, context reused %d\n", result.Returning, result.Reused)
	_, _ = fmt.Fprintf(output, "first byte: median %.1f ms, 95 in 100 within %.1f ms\n",
		float64(result.FirstByte.ValueAtQuantile(50))/1000, float64(result.FirstByte.ValueAtQuantile(95))/1000)
	for _, example := range result.Examples {
		_, _ = fmt.Fprintf(output, "unclear: %s\n", example)
	}
}
