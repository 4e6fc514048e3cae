// Package examples contains the deployments of two users. The test checks that their
// bundles and settings are valid.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/settings"
)

func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"swan-coast", "beridze"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(deployment, "bundle.toml")
			source, err := os.ReadFile(path)
			is.NoErr(err)
			content, err := bundle.Parse(path, source)
			is.NoErr(err)
			is.Equal(len(content.Pools[0].BackEnds), 18)
			for _, role := range []string{"router", "agent"} {
				s, err := settings.Load(filepath.Join(deployment, role+".toml"))
				is.NoErr(err)
				is.Equal(s.Role, role)
				if role == "agent" {
					pool, _ := content.PoolOf(s.ID)
					is.True(pool != nil) // the bundle lists the agent's back end
				}
			}
		})
	}
}
