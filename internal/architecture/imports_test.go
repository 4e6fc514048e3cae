package architecture

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// part is a group of packages.
type part string

// The parts of the folder internal. Gateways are one fleet, routers and agents another
// one; shared packages serve both; the laboratory holds the tools for tests, simulation,
// demos and analysis; programs hold the commands and processes. A part may import itself
// and the parts that mayImport names.
const (
	gateways   part = "gateways"
	routers    part = "routers and agents"
	shared     part = "shared"
	laboratory part = "laboratory"
	programs   part = "programs"
)

// mayImport names the parts that a part may import besides itself. Neither fleet may
// import the other.
var mayImport = map[part][]part{
	gateways:   {shared},
	routers:    {shared},
	shared:     {},
	laboratory: {gateways, routers, shared, programs},
	programs:   {gateways, routers, shared, laboratory},
}

// partOf maps each package under internal to its part. The packages in its subfolders
// belong to the same part.
var partOf = map[string]part{
	"catalog": gateways, "dispatch": gateways, "collect": gateways, "origins": gateways, "relay": gateways, "follower": gateways, "gateway": gateways,
	"rollout": gateways, "fairshare": gateways, "workload": gateways,

	"router": routers, "agent": routers, "coordination": routers, "admission": routers, "bundle": routers,
	"membership": routers, "peering": routers, "objectstore": routers,

	"failure": shared, "fieldvalue": shared, "clock": shared, "hop": shared, "limits": shared, "routing": shared, "eventlog": shared, "eventstream": shared,
	"draining": shared, "intake": shared, "task": shared, "logqueue": shared, "salvage": shared, "keepalive": shared, "peerlink": shared, "socket": shared, "packed": shared, "settings": shared, "slo": shared, "telemetry": shared, "tomlfile": shared,

	"soak": laboratory, "simulation": laboratory, "standin": laboratory, "loadgen": laboratory, "demo": laboratory,
	"explain": laboratory, "pipenet": laboratory, "fixedseed": laboratory, "bubble": laboratory,

	"daemon": programs, "cli": programs, "earlysignal": programs, "architecture": programs,
}

// exceptions are the known imports that break the rules, each with what is imported.
// Before an exception is added, moving the imported code to a shared package should
// be considered.
var exceptions = map[string]string{
	"hop imports admission":         "headers of the hop between routers and agents",
	"hop imports membership":        "the same",
	"settings imports coordination": "limits of the settings of routers and agents",
	"settings imports membership":   "the same",
	"settings imports dispatch":     "names of the mechanisms that a gateway can switch off",
}

const (
	module = "github.com/harriernotch/harriernotch/internal/"
	root   = ".."
)

// Imports of test files aren't checked: a test may import any package.
func TestImportsFollowRules(t *testing.T) {
	is := is.New(t)
	unused := map[string]bool{}
	for exception := range exceptions {
		unused[exception] = true
	}
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		from := strings.Split(filepath.ToSlash(path), "/")[1]
		for _, imported := range file.Imports {
			to, isOurs := packageOf(imported.Path.Value)
			if !isOurs || isAllowed(from, to) {
				continue
			}
			importEdge := from + " imports " + to
			delete(unused, importEdge)
			if exceptions[importEdge] == "" {
				t.Errorf("%s: %s, which belongs to the %s", path, importEdge, partOf[to])
			}
		}
		return nil
	})
	is.NoErr(err)
	is.Equal(len(unused), 0) // exceptions that are no longer needed must be removed
}

// packageOf returns the package under internal that an import path names. isOurs is
// false for other import paths.
func packageOf(quoted string) (name string, isOurs bool) {
	path, err := strconv.Unquote(quoted)
	if err != nil {
		return "", false
	}
	rest, isOurs := strings.CutPrefix(path, module)
	name, _, _ = strings.Cut(rest, "/")
	return name, isOurs
}

// isAllowed reports whether the parts' rules let one package import another.
func isAllowed(from, to string) bool {
	if partOf[from] == partOf[to] {
		return true
	}
	for _, allowed := range mayImport[partOf[from]] {
		if allowed == partOf[to] {
			return true
		}
	}
	return false
}

func TestEveryPackageHasAPart(t *testing.T) {
	is := is.New(t)
	entries, err := os.ReadDir(root)
	is.NoErr(err)
	for _, entry := range entries {
		if entry.IsDir() && partOf[entry.Name()] == "" {
			t.Errorf("internal/%s belongs to no part; name it in partOf and in docs/design/packages.md", entry.Name())
		}
	}
}
