package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// takeNotice takes what a back end's answer says of the back end itself.
func (h *Handler) takeNotice(c *call, send dispatch.Send, status int, facts AnswerFacts) {
	if !facts.Leaving && facts.Rest == 0 {
		return
	}
	h.config.Metrics.noticed(c, facts)
	isNews := false
	h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		isNews = core.Heed(now, c.exchange, dispatch.Notice{Leaving: facts.Leaving})
		return dispatch.Decision{}
	})
	if !isNews && facts.Rest == 0 {
		return
	}
	h.config.Log.Urgent(eventlog.BackEndNotice, logrus.Fields{
		"back_end": send.BackEnd.ID, "service": send.BackEnd.Service, "address": send.BackEnd.Address, "source": SourceOwn,
		"request": c.facts.ID, "status": status, "leaving": facts.Leaving, "rest_ms": facts.Rest.Milliseconds(),
	})
}
