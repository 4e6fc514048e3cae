package agenthttp

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Headers in which a back end announces its own state.
const (
	// headerLeaving is set in all answers of a back end that is leaving.
	headerLeaving = "X-Leaving"
	// headerRetryAfter states for how many seconds the back end wants no requests. It
	// counts only in answers with status 503.
	headerRetryAfter = "Retry-After"
)

// applyNotice applies the notice in an answer: what it says about the back end itself.
func (s *Server) applyNotice(response *http.Response) {
	leaving := response.Header.Get(headerLeaving) != ""
	retryAfter := time.Duration(0)
	if response.StatusCode == http.StatusServiceUnavailable {
		retryAfter = failure.ParseRetryAfter(response.Header.Get(headerRetryAfter))
	}
	if !leaving && retryAfter == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !leaving || !s.core.Gate().IsLeaving() {
		s.config.Log.WithFields(logrus.Fields{"leaving": leaving, "rest_ms": retryAfter.Milliseconds()}).Warn("the back end announced that it accepts no requests")
	}
	s.perform(s.core.ApplyNotice(time.Now(), leaving, retryAfter))
}
