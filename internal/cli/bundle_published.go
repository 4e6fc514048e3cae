package cli

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
)

func newBundlePublishCommand() *cobra.Command {
	var flags platformFlags
	command := &cobra.Command{
		Use:   "publish FILE.signed",
		Short: "Publish a signed bundle with one conditional update",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "read the signed bundle")
			}
			publisher, err := flags.publisher(nil)
			if err != nil {
				return err
			}
			published, err := publisher.Publish(cmd.Context(), raw)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "published number %d\n", published.Number)
			return err
		},
	}
	flags.register(command, true)
	return command
}

func newBundleStatusCommand() *cobra.Command {
	var flags platformFlags
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the published bundle",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			current, err := currentBundle(cmd.Context(), flags)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "number %d, signed %s by %s, note %q, %d pools, %d tenants, %d bytes\n",
				current.Number, current.SignedAt().UTC().Format(time.RFC3339), current.KeyID, current.Note,
				len(current.Content.Pools), len(current.Content.Tenants), len(current.Raw))
			return err
		},
	}
	flags.register(command, true)
	return command
}

func currentBundle(ctx context.Context, flags platformFlags) (*bundle.Bundle, error) {
	publisher, err := flags.publisher(nil)
	if err != nil {
		return nil, err
	}
	current, _, err := publisher.Current(ctx)
	if err != nil {
		return nil, err
	}
	if current == nil {
		return nil, failure.New(failure.InvalidRequest, "no bundle has been published yet; run `bundle publish`")
	}
	return current, nil
}

// diffContext is the number of unchanged lines that a diff shows around a change.
const diffContext = 3

func newBundleDiffCommand() *cobra.Command {
	var flags platformFlags
	command := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show how a document differs from the published bundle",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, source, err := readBundle(args[0])
			if err != nil {
				return err
			}
			current, err := currentBundle(cmd.Context(), flags)
			if err != nil {
				return err
			}
			text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A:        difflib.SplitLines(string(current.Source)),
				B:        difflib.SplitLines(string(source)),
				FromFile: fmt.Sprintf("published number %d", current.Number),
				ToFile:   args[0],
				Context:  diffContext,
			})
			if err != nil {
				return errors.Wrap(err, "compare")
			}
			if text == "" {
				text = "no difference\n"
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
	flags.register(command, true)
	return command
}

func newBundleRollbackCommand() *cobra.Command {
	var flags platformFlags
	var keyPath string
	var to uint64
	command := &cobra.Command{
		Use:   "rollback --to NUMBER",
		Short: "Publish an archived document again, under the next number",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := readKey(keyPath)
			if err != nil {
				return err
			}
			published, err := rollBack(cmd.Context(), flags, key, to)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "published number %d with the document of number %d\n", published.Number, to)
			return err
		},
	}
	flags.register(command, true)
	command.Flags().StringVar(&keyPath, "key", keyFile, "the signing key")
	command.Flags().Uint64Var(&to, "to", 0, "the number of the archived document to publish")
	_ = command.MarkFlagRequired("to")
	return command
}

func rollBack(ctx context.Context, flags platformFlags, key ed25519.PrivateKey, to uint64) (*bundle.Bundle, error) {
	publisher, err := flags.publisher(key)
	if err != nil {
		return nil, err
	}
	old, err := publisher.Archived(ctx, to)
	if err != nil {
		return nil, err
	}
	header, err := nextHeader(ctx, flags, key, old.Source, 0)
	if err != nil {
		return nil, err
	}
	header.Note = fmt.Sprintf("rollback to number %d", to)
	raw, err := bundle.Sign(header, old.Source, key)
	if err != nil {
		return nil, err
	}
	return publisher.Publish(ctx, raw)
}
