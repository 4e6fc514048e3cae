package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// uncheckedReaders are the names of net/http that read answers without the checks of hop.Transport.
var uncheckedReaders = map[string]bool{
	"Transport": true, "DefaultTransport": true, "DefaultClient": true, "ReadResponse": true, "Get": true, "Post": true, "Head": true, "PostForm": true,
}

// Guards against answers that a gateway, router or agent reads by net/http alone, which accepts bytes that are none.
// hop has the checks, and the laboratory's callers and the commands read what the product sends.
func TestProductReadsAnswersByCheckedTransports(t *testing.T) {
	is := is.New(t)
	for _, root := range []string{"..", filepath.Join("..", "..", "platform")} {
		is.NoErr(filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || isExemptFromChecks(path) {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				selector, ok := node.(*ast.SelectorExpr)
				if !ok || !uncheckedReaders[selector.Sel.Name] {
					return true
				}
				if from, isName := selector.X.(*ast.Ident); isName && from.Name == "http" {
					t.Errorf("%s uses http.%s; use a hop.Transport", path, selector.Sel.Name)
				}
				return true
			})
			return nil
		}))
	}
}

// isExemptFromChecks reports whether a file belongs to hop, the laboratory or the commands.
func isExemptFromChecks(path string) bool {
	name := strings.Split(filepath.ToSlash(path), "/")[1]
	return name == "hop" || name == "cli" || partOf[name] == laboratory
}
