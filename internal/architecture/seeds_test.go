package architecture

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	rapidImport     = `"pgregory.net/rapid"`
	fixedSeedImport = `"` + module + `fixedseed"`
)

// Without this import a property test draws new cases in each run: a failure would appear and
// disappear at random, and could first appear in a run of a change that didn't cause it.
func TestPropertyTestsImportFixedSeed(t *testing.T) {
	is := is.New(t)
	err := filepath.WalkDir(filepath.Join(root, ".."), func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		imported := map[string]bool{}
		for _, each := range file.Imports {
			imported[each.Path.Value] = true
		}
		if imported[rapidImport] && !imported[fixedSeedImport] {
			t.Errorf("%s uses rapid, but doesn't import %s", path, fixedSeedImport)
		}
		return nil
	})
	is.NoErr(err)
}
