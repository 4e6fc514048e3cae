package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// takeNotice tells what a back end's answer says of the back end itself.
func (h *Handler) takeNotice(c *call, send dispatch.Send, status int, facts AnswerFacts) {
	if !facts.Leaving && facts.Rest == 0 {
		return
	}
	h.config.Metrics.noticed(c, facts)
	h.config.Log.Urgent(eventlog.BackEndNotice, logrus.Fields{
		"back_end": send.BackEnd.ID, "service": send.BackEnd.Service, "address": send.BackEnd.Address,
		"request": c.facts.ID, "status": status, "leaving": facts.Leaving, "rest_ms": facts.Rest.Milliseconds(),
	})
}
