package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// applyNotice applies what the headers of a back end's answer say about the back end itself.
func (h *Handler) applyNotice(c *call, send dispatch.Send, status int, facts AnswerFacts) {
	if !facts.Leaving && facts.RetryAfter == 0 {
		return
	}
	notice, isNew := dispatch.Notice{Leaving: facts.Leaving}, false
	if facts.NotRun || promisesNotRun(status) {
		notice.RetryAfter = facts.RetryAfter
	}
	h.config.Metrics.noticed(c, notice)
	h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		isNew = core.ApplyNotice(now, c.exchange, notice)
		return dispatch.Decision{}
	})
	if !isNew {
		return
	}
	h.config.Log.Warn(eventlog.BackEndNotice, logrus.Fields{
		"back_end": send.BackEnd.ID, "service": send.BackEnd.Service, "address": send.BackEnd.Address, "source": SourceOwn,
		"request": c.facts.ID, "status": status, "leaving": facts.Leaving, "rest_ms": notice.RetryAfter.Milliseconds(),
	})
}
