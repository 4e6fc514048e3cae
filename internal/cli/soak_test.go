package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Guards against a soak that fails with its first settings file because its folder isn't there.
func TestSoakMakesItsFolder(t *testing.T) {
	is := is.New(t)
	wanted := filepath.Join(t.TempDir(), "runs", "first")
	folder, err := makeSoakFolder(wanted)
	is.NoErr(err)
	is.Equal(folder, wanted)
	made, err := os.Stat(wanted)
	is.NoErr(err)
	is.True(made.IsDir())
}

func TestSoakFolderThatCannotBeMadeIsInvalid(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	_, err := makeSoakFolder(file)
	is.Equal(failure.KindOf(err), failure.InvalidRequest)
}
