package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// validSettings are a gateway's settings without an error.
const validSettings = `role = "gateway"
id = "g1"
zone = "z"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
url = "http://127.0.0.1:4"
`

// replaceFile writes a file so that a reader sees all of it or nothing.
func replaceFile(path, text string) {
	_ = os.WriteFile(path+".new", []byte(text), 0o600)
	_ = os.Rename(path+".new", path)
}

func TestSettingsThatAreWrittenLaterAreLoaded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "missing.toml")
		go func() {
			time.Sleep(settingsPatience / 2)
			replaceFile(path, validSettings[:20]) // cut
			time.Sleep(settingsPatience / 4)
			replaceFile(path, validSettings)
		}()
		var complaints bytes.Buffer
		s, err := loadSettings(context.Background(), path, &complaints)
		is.NoErr(err)
		is.Equal(s.ID, "g1")
		is.Equal(strings.Count(complaints.String(), "waiting for settings:"), 2) // missing, then cut
	})
}

func TestSettingsThatStayUnusableAreAnErrorSoon(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		_, err := loadSettings(context.Background(), filepath.Join(t.TempDir(), "missing.toml"), &bytes.Buffer{})
		is.True(err != nil)
		is.Equal(time.Since(began), settingsPatience)
	})
}

func TestWaitForSettingsEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s, err := loadSettings(ctx, filepath.Join(t.TempDir(), "missing.toml"), &bytes.Buffer{})
	is.True(s == nil && err == nil)
}
