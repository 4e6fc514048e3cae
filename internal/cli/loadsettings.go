package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/harriernotch/harriernotch/internal/settings"
)

const (
	// settingsPatience is how long a start waits for settings that can be used. A file that is being written is empty
	// or cut for a moment; one that stays unusable is an error that its writer should see soon.
	settingsPatience = 3 * time.Second
	// settingsRetryPause is the time between two attempts to read the settings.
	settingsRetryPause = 50 * time.Millisecond
)

// loadSettings reads the settings. While they can't be used, it reads them again for up to settingsPatience, and writes
// each error that differs from the one before to complaints. It returns nil settings if ctx ends.
func loadSettings(ctx context.Context, path string, complaints io.Writer) (*settings.Settings, error) {
	patience := time.After(settingsPatience)
	pause := time.NewTicker(settingsRetryPause)
	defer pause.Stop()
	lastComplaint := ""
	for {
		s, err := loadOnce(ctx, path)
		if err == nil {
			return s, nil
		}
		if complaint := err.Error(); complaint != lastComplaint {
			_, _ = fmt.Fprintf(complaints, "waiting for settings: %v\n", err) // the final error is returned
			lastComplaint = complaint
		}
		select {
		case <-pause.C:
		case <-patience:
			return nil, err
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// loadOnce reads the settings once. It returns nil settings if ctx ends before they are read, as from a file system that
// doesn't answer.
func loadOnce(ctx context.Context, path string) (*settings.Settings, error) {
	type result struct {
		settings *settings.Settings
		err      error
	}
	loaded := make(chan result, 1)
	go func() {
		s, err := settings.Load(path)
		loaded <- result{s, err}
	}()
	select {
	case read := <-loaded:
		return read.settings, read.err
	case <-ctx.Done():
		return nil, nil
	}
}
