package cli

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
)

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
