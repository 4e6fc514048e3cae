package eventlog

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// stalledOutput is an output that blocks until release is closed.
type stalledOutput struct{ release chan struct{} }

func (s stalledOutput) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

func noFields() logrus.Fields { return nil }

func TestStalledOutputDoesNotBlock(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := stalledOutput{release: make(chan struct{})}
		log := New(output, logrus.InfoLevel, nil)
		start := time.Now()
		for range 100 {
			for range 100 {
				log.Warn(RequestFailed, logrus.Fields{"request": "a"})
				log.Info(RequestAnswered, noFields)
			}
			time.Sleep(time.Second)
		}
		is.Equal(time.Since(start), 100*time.Second) // only the sleeps took time
		is.True(log.Dropped() > 0)
		close(output.release)
		log.Close()
	})
}

func TestDroppedLinesAreReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		log := New(&output, logrus.InfoLevel, logrus.Fields{"node": "n"})
		for range 1000 {
			log.Info(RequestAnswered, noFields)
		}
		log.Warn(RequestFailed, logrus.Fields{"request": "a"}) // not affected by the limit on info lines
		time.Sleep(2 * dropReportPeriod)
		log.Close()
		dropped, failed := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(output.String()), "\n") {
			var fields map[string]any
			is.NoErr(json.Unmarshal([]byte(line), &fields))
			is.Equal(fields["node"], "n")
			switch fields["msg"] {
			case string(LinesDropped):
				dropped += int(fields["lines"].(float64))
			case string(RequestFailed):
				failed++
			}
		}
		is.Equal(dropped, 1000-infoPerSecond)
		is.Equal(failed, 1)
	})
}

// The operators' page lists every event, and no event that doesn't exist.
func TestOperatorsPageHasEveryEvent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_]+\\.[a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1])
	}
	var known []string
	for _, event := range Events() {
		known = append(known, string(event))
	}
	slices.Sort(listed)
	slices.Sort(known)
	is.Equal(listed, known)
}

func BenchmarkInfo(b *testing.B) {
	log := New(io.Discard, logrus.InfoLevel, logrus.Fields{"node": "n"})
	defer log.Close()
	b.ReportAllocs()
	for b.Loop() {
		log.Info(RequestSent, func() logrus.Fields {
			return logrus.Fields{"request": "9c41d07be2a35f68", "back_end": "i-7f3a91c2", "load_estimate": 3.5}
		})
	}
}

// failingOutput takes no line.
type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestLinesThatTheOutputDoesNotTakeAreCounted(t *testing.T) {
	is := is.New(t)
	log := New(failingOutput{}, logrus.InfoLevel, nil)
	log.Warn(RequestFailed, nil)
	log.Warn(RequestFailed, nil)
	log.Close()
	is.Equal(log.Unwritten(), int64(2))
}
