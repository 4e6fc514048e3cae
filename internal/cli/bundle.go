package cli

import (
	"context"
	"crypto/ed25519"
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/objectstore"
)

//go:embed bundle.toml
var exampleBundle []byte

// Names of the files that `bundle init` writes.
const (
	bundleFile = "bundle.toml"
	keyFile    = "signing.key"
)

// publicFileMode is the mode of files that every user may read.
const publicFileMode = 0o644

// platformFlags are the flags for the platform and the trusted keys.
type platformFlags struct {
	url     string
	trusted []string
}

func (f *platformFlags) register(command *cobra.Command, required bool) {
	command.Flags().StringVar(&f.url, "platform", "", "the platform's URL, such as http://10.0.0.1:8500")
	command.Flags().StringSliceVar(&f.trusted, "trusted", nil, "an operator's public key; may be repeated")
	if required {
		_ = command.MarkFlagRequired("platform")
	}
}

// publisher returns a publisher that trusts the keys in the flags and, unless it is nil,
// signingKey.
func (f *platformFlags) publisher(signingKey ed25519.PrivateKey) (*objectstore.Publisher, error) {
	trusted, err := parsePublicKeys(f.trusted)
	if err != nil {
		return nil, err
	}
	if signingKey != nil {
		trusted = append(trusted, publicKeyOf(signingKey))
	}
	if len(trusted) == 0 {
		return nil, failure.New(failure.InvalidRequest, "--trusted is missing; name the public key that `bundle init` printed")
	}
	return objectstore.NewPublisher(objectstore.NewHTTPClient(f.url, nil), trusted, time.Now), nil
}

func newBundleCommand() *cobra.Command {
	command := &cobra.Command{Use: "bundle", Short: "Write, check, sign and publish bundles"}
	command.AddCommand(
		newBundleInitCommand(), newBundleCheckCommand(), newBundleSignCommand(), newBundlePublishCommand(),
		newBundleStatusCommand(), newBundleDiffCommand(), newBundleRollbackCommand(), newBundleHashKeyCommand(),
	)
	return command
}

func newBundleInitCommand() *cobra.Command {
	var directory string
	command := &cobra.Command{
		Use:   "init",
		Short: "Write an example bundle and a signing key",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			public, err := writeNewKey(filepath.Join(directory, keyFile))
			if err != nil {
				return err
			}
			path := filepath.Join(directory, bundleFile)
			if _, err := os.Stat(path); err == nil {
				return failure.New(failure.InvalidRequest, path+" already exists and was not changed")
			}
			if err := os.WriteFile(path, exampleBundle, publicFileMode); err != nil {
				return errors.Wrap(err, "write the example bundle")
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "wrote %s and %s\npublic key for trusted_keys: %s\n",
				path, filepath.Join(directory, keyFile), encodePublicKey(public))
			return err
		},
	}
	command.Flags().StringVar(&directory, "dir", ".", "the directory for the files")
	return command
}

func newBundleCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a bundle document and report every problem with its remedy",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			content, _, err := readBundle(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: in order: %d pools, %d tenants, %d models\n",
				args[0], len(content.Pools), len(content.Tenants), len(content.ModelNames()))
			return err
		},
	}
}

func readBundle(path string) (*bundle.Content, []byte, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the bundle document")
	}
	content, err := bundle.Parse(path, source)
	return content, source, err
}

func newBundleSignCommand() *cobra.Command {
	var flags platformFlags
	var keyPath, out, note string
	var number uint64
	command := &cobra.Command{
		Use:   "sign FILE",
		Short: "Sign a bundle document as the next version",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, source, err := readBundle(args[0])
			if err != nil {
				return err
			}
			key, err := readKey(keyPath)
			if err != nil {
				return err
			}
			header, err := nextHeader(cmd.Context(), flags, key, source, number)
			if err != nil {
				return err
			}
			header.Note = note
			raw, err := bundle.Sign(header, source, key)
			if err != nil {
				return err
			}
			if out == "" {
				out = args[0] + ".signed"
			}
			if err := os.WriteFile(out, raw, publicFileMode); err != nil {
				return errors.Wrap(err, "write the signed bundle")
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "signed number %d, %d bytes: %s\n", header.Number, len(raw), out)
			return err
		},
	}
	flags.register(command, false)
	command.Flags().StringVar(&keyPath, "key", keyFile, "the signing key")
	command.Flags().StringVar(&out, "out", "", "the signed file (default FILE.signed)")
	command.Flags().StringVar(&note, "note", "", "a note for other operators")
	command.Flags().Uint64Var(&number, "number", 0, "the bundle's number; used only without --platform")
	return command
}

// nextHeader returns the header of the next bundle: the number after the published
// bundle's, and the handovers and stale-until time that follow from replacing it.
// Without a platform it uses the given number.
func nextHeader(ctx context.Context, flags platformFlags, key ed25519.PrivateKey, source []byte, number uint64) (bundle.Header, error) {
	now := time.Now()
	header := bundle.Header{Number: number, Identifier: uuid.NewString(), SignedAtMillis: now.UnixMilli()}
	if flags.url == "" {
		if number == 0 {
			return header, failure.New(failure.InvalidRequest, "name --platform to take the next number, or set --number")
		}
		return header, nil
	}
	publisher, err := flags.publisher(key)
	if err != nil {
		return header, err
	}
	current, _, err := publisher.Current(ctx)
	if err != nil {
		return header, err
	}
	content, err := bundle.Parse(bundleFile, source)
	if err != nil {
		return header, err
	}
	header.Number = 1
	if current != nil {
		header.Number = current.Number + 1
	}
	succession := bundle.SuccessionOf(current, content, now)
	header.Handovers = succession.Handovers
	if !succession.StaleUntil.IsZero() {
		header.StaleUntilMillis = succession.StaleUntil.UnixMilli()
	}
	return header, nil
}

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

func newBundleHashKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hash-key KEY",
		Short: "Print the hash of a tenant's bearer key, for key_sha256",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), bundle.HashKey(args[0]))
			return err
		},
	}
}
