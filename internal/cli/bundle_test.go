package cli

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/standin"
)

// runTool runs a harriernotch command and returns its output.
func runTool(arguments ...string) (string, error) {
	var output bytes.Buffer
	command := NewToolCommand(nil)
	command.SetOut(&output)
	command.SetErr(&output)
	command.SetArgs(arguments)
	err := command.Execute()
	return output.String(), err
}

func TestBundleCommandsEndToEnd(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, bundleFile)
	key := filepath.Join(dir, keyFile)

	printed, err := runTool("bundle", "init", "--dir", dir)
	is.NoErr(err)
	public := regexp.MustCompile(`trusted_keys: (\S+)`).FindStringSubmatch(printed)[1]
	_, err = runTool("bundle", "init", "--dir", dir)
	is.True(err != nil) // an existing key is never overwritten

	printed, err = runTool("bundle", "check", file)
	is.NoErr(err)
	is.True(strings.Contains(printed, "in order: 2 pools, 1 tenants, 1 models"))
	printed, err = runTool("bundle", "sign", file, "--key", key, "--platform", server.URL, "--note", "first")
	is.NoErr(err)
	is.True(strings.Contains(printed, "signed number 1"))
	_, err = runTool("bundle", "publish", file+".signed", "--platform", server.URL, "--trusted", public)
	is.NoErr(err)

	source, err := os.ReadFile(file)
	is.NoErr(err)
	changed := strings.Replace(string(source), "load_multiple = 1.25", "load_multiple = 1.5", 1)
	is.NoErr(os.WriteFile(file, []byte(changed), publicFileMode))
	printed, err = runTool("bundle", "diff", file, "--platform", server.URL, "--trusted", public)
	is.NoErr(err)
	is.True(strings.Contains(printed, "-load_multiple = 1.25\n+load_multiple = 1.5\n"))

	// Two operators sign number 2; the second one to publish gets a conflict.
	for _, name := range []string{"ours", "theirs"} {
		_, err = runTool("bundle", "sign", file, "--key", key, "--platform", server.URL, "--note", name, "--out", filepath.Join(dir, name))
		is.NoErr(err)
	}
	_, err = runTool("bundle", "publish", filepath.Join(dir, "ours"), "--platform", server.URL, "--trusted", public)
	is.NoErr(err)
	_, err = runTool("bundle", "publish", filepath.Join(dir, "theirs"), "--platform", server.URL, "--trusted", public)
	is.Equal(failure.KindOf(err), failure.Conflict)

	printed, err = runTool("bundle", "rollback", "--to", "1", "--key", key, "--platform", server.URL)
	is.NoErr(err)
	is.True(strings.Contains(printed, "published number 3 with the document of number 1"))
	printed, err = runTool("bundle", "status", "--platform", server.URL, "--trusted", public)
	is.NoErr(err)
	is.True(strings.Contains(printed, `number 3`) && strings.Contains(printed, `note "rollback to number 1"`))
}

func TestInvalidArgumentsAreReported(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("format = 1\nnmae = 2\n"), publicFileMode); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		arguments []string
		want      string
	}{
		"unknown key":           {[]string{"bundle", "check", bad}, "bad.toml:2: nmae: unknown key"},
		"bad signing key":       {[]string{"bundle", "sign", "bundle.toml", "--key", bad}, "is not a signing key"},
		"bad trusted key":       {[]string{"bundle", "status", "--platform", "http://127.0.0.1:1", "--trusted", "x"}, "--trusted: x is not an Ed25519 public key"},
		"unknown scenario":      {[]string{"simulate", "--scenario", "x"}, "--scenario: unknown"},
		"unknown size":          {[]string{"simulate", "--size", "x"}, "--size: unknown"},
		"unknown policy":        {[]string{"simulate", "--policy", "x"}, "--policy: unknown"},
		"unknown break":         {[]string{"simulate", "--break", "x"}, "--break: unknown"},
		"load target elsewhere": {[]string{"load", "--target", "http://10.0.0.1:80"}, "--target must be on loopback"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := runTool(c.arguments...)
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestSimulateSucceedsOnlyWithoutViolation(t *testing.T) {
	is := is.New(t)
	printed, err := runTool("simulate", "--scenario", "steady", "--duration", "20s", "--warmup", "10s")
	is.NoErr(err)
	is.True(strings.Contains(printed, "token-hash-bounded"))
	printed, err = runTool("simulate", "--scenario", "steady", "--duration", "60s", "--warmup", "10s", "--break", "bound")
	is.True(err != nil)
	is.True(strings.Contains(printed, "load bound at"))
	is.True(strings.Contains(printed, "last events:"))
}
