package failure

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestEveryKindHasADistinctCompleteRow(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, kind := range Kinds() {
		answer := kind.Answer()
		is.True(answer.Name != "")    // every kind has a name
		is.True(!seen[answer.Name])   // names are distinct
		is.True(answer.Status >= 400) // a failure is never a success
		is.True(answer.Ran != "")     // every answer states whether the request ran
		seen[answer.Name] = true
		parsed, ok := Parse(answer.Name)
		is.True(ok)
		is.Equal(parsed, kind)
		if answer.Retry {
			is.True(answer.RetryAfter > 0) // a kind that may be retried has a delay
		}
	}
}

func TestErrorWithoutKindIsNeverReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	WriteHTTP(recorder, errors.New("plain"))
	is.Equal(recorder.Code, 500)
	is.Equal(recorder.Header().Get(HeaderRan), string(RanUnknown))
}

func TestRetryAfterRoundsUp(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	WriteHTTP(recorder, errors.Wrap(&Error{Kind: RateLimited, Message: "m", RetryAfter: 1100 * time.Millisecond}, "outer"))
	is.Equal(recorder.Code, 429)
	is.Equal(recorder.Header().Get("Retry-After"), "2")
	is.Equal(recorder.Header().Get(HeaderKind), "rate_limited")
}

func TestOperatorsPageHasEveryRow(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, kind := range Kinds() {
		answer := kind.Answer()
		retry, wait := "no", "-"
		if answer.Retry {
			retry, wait = "yes", answer.RetryAfter.String()
		}
		row := fmt.Sprintf("| `%s` | %d | %s | %s | %s |", answer.Name, answer.Status, answer.Ran, retry, wait)
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks the row %s", row)
		}
	}
}

func TestParseRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(ParseRetryAfter("3"), 3*time.Second)
	is.Equal(ParseRetryAfter(" 0.25 "), 250*time.Millisecond)
	is.Equal(ParseRetryAfter("1e300"), 24*time.Hour)
	for _, header := range []string{"", "0", "-1", "NaN", "soon", "Wed, 21 Oct 2015 07:28:00 GMT"} {
		is.Equal(ParseRetryAfter(header), time.Duration(0))
	}
}
