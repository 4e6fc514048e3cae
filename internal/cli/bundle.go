package cli

import (
	"crypto/ed25519"
	_ "embed"
	"time"

	"github.com/spf13/cobra"

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
