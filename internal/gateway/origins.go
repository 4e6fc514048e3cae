package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// OriginFinder finds out where streams began that callers resume.
type OriginFinder interface {
	// Find returns where the stream of the question began, and how that is known.
	Find(ctx context.Context, question dispatch.OriginQuestion) (dispatch.StreamOrigin, dispatch.OriginSource)
}

// originOf finds out where the stream of the request began, if the caller resumes one, and sets that in
// the request.
func (h *Handler) originOf(ctx context.Context, c *call, request *dispatch.Request) error {
	if !c.isResumption() || h.config.Disabled[dispatch.SameVersion] {
		return nil
	}
	request.Resumes = c.facts.Resumes
	question := dispatch.OriginQuestion{Route: c.route.Name, Service: c.route.Target(request.Seed())}
	if request.Resumes != "" {
		question.Key = dispatch.OriginKeyOf(c.tenant, request.Resumes)
	}
	origin, source := h.config.Origins.Find(ctx, question)
	c.originSource = source
	if source == dispatch.OriginUnknown {
		return failure.New(failure.StreamVersionUnknown, "it isn't known which software version began the stream, and the back ends run several; name the attempt that brought its first event, or send a new request")
	}
	request.Origin = &origin
	return nil
}

// signalOrigins signals that there are new origins of streams, if there are any. The mutex is held.
func (s *State) signalOrigins() {
	if !s.core.HasUnpublishedOrigins() {
		return
	}
	signal(s.originsReady)
}

// OriginsReady returns a channel that is signalled when TakeOrigins returns new records.
func (s *State) OriginsReady() <-chan struct{} { return s.originsReady }

// TakeOrigins returns the new records of where this gateway's streams began.
func (s *State) TakeOrigins() []dispatch.OriginRecord {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.TakeOrigins()
}

// KeepOrigins keeps records of other gateways.
func (s *State) KeepOrigins(records []dispatch.OriginRecord) {
	if len(records) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.KeepOrigins(s.clock.Now(), records)
}

// UnsettledRoutes returns questions about the routes of which this gateway can't tell yet whether all of
// their streams began at one version.
func (s *State) UnsettledRoutes() []dispatch.OriginQuestion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.UnsettledRoutes(s.clock.Now())
}

// SettleRoute adopts another gateway's answer to such a question.
func (s *State) SettleRoute(question dispatch.OriginQuestion, answer dispatch.OriginAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SettleRoute(s.clock.Now(), question, answer)
}

// AssumeFirstStart records that the fleet starts for the first time.
func (s *State) AssumeFirstStart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.AssumeFirstStart(s.clock.Now())
}

// Settlement is what this gateway knows of the services whose streams all began at one version.
type Settlement struct {
	// IsKnown is false while this gateway doesn't know the back ends and the configuration.
	IsKnown bool
	// Settled are those services, and Unchanged these and the others of which no change is known. A record
	// that isn't among Unchanged is outdated.
	Settled   []dispatch.SettledService
	Unchanged []dispatch.SettledService
	// IsRecorder is true if this gateway is one of those that keep the store's records.
	IsRecorder bool
	// Era is the era of the store.
	Era uint64
}

// Settlement returns what this gateway knows now.
func (s *State) Settlement() Settlement {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, era := s.clock.Now(), s.view.Era()
	return Settlement{
		IsKnown: s.knowsServices(), Settled: inEra(era, s.core.SettledServices(now)), Unchanged: inEra(era, s.core.UnchangedServices(now)),
		IsRecorder: s.place.Duty == Reader, Era: era,
	}
}

// inEra sets the era of the services.
func inEra(era uint64, services []dispatch.SettledService) []dispatch.SettledService {
	for i := range services {
		services[i].Era = era
	}
	return services
}

// SettleRecorded applies the store's records of settled services, except those of earlier eras. It returns false while this gateway
// doesn't know the back ends and the configuration to compare them with.
func (s *State) SettleRecorded(recorded []dispatch.SettledService) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.knowsServices() {
		return false
	}
	era := s.view.Era()
	isOutdated := func(each dispatch.SettledService) bool { return each.Era != era }
	s.core.SettleRecorded(s.clock.Now(), slices.DeleteFunc(slices.Clone(recorded), isOutdated))
	return true
}

// knowsServices reports whether this gateway knows the back ends and the configuration. The mutex is held.
func (s *State) knowsServices() bool { return s.view.Index() != nil && s.listed }

// AnswerOrigin returns what this gateway knows of where a stream began. peersStoreAge is the time since the
// store last answered a gateway that this one hears of; contactAge is that of dispatch.ListAge.
func (s *State) AnswerOrigin(question dispatch.OriginQuestion, peersStoreAge, contactAge time.Duration) dispatch.OriginAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	return s.core.AnswerOrigin(now, question, dispatch.ListAge(min(s.storeAge(now), peersStoreAge), contactAge))
}
