package soak

// Promise is the name of a promise that is checked.
type Promise string

// The promises, by their names in reports. The bounds and exemptions are described at the checks.
const (
	// PromiseOwn requires that a complete answer with status 200 carries a back end's stamp and, to
	// a plain request, is the answer to that request.
	PromiseOwn Promise = "whole and own answers"
	// PromiseOrder requires that the events of a stream are its own and arrive in order, and that a
	// stream with status 200 that ends without an error has all of them.
	PromiseOrder Promise = "streams in order"
	// PromiseUnaltered requires that back ends run only requests that a caller sent, with the
	// caller's body and tenant.
	PromiseUnaltered Promise = "only what was asked"
	// PromiseNotRun requires that a request hasn't run if the status of its answer means that it
	// hasn't.
	PromiseNotRun Promise = "not run is true"
	// PromiseOnce requires that a request runs at most once unless its route is repeatable or
	// resumable.
	PromiseOnce Promise = "at most once"
	// PromiseAttempts requires that a request arrives at back ends at most once for each attempt
	// that its route allows.
	PromiseAttempts Promise = "attempts within the route"
	// PromiseBudget requires that the retries of all requests stay within the retry budget.
	PromiseBudget Promise = "retries within the budget"
	// PromiseLeaving requires that a back end that is leaving according to the store gets no more
	// requests.
	PromiseLeaving Promise = "leaving"
	// PromiseNotice requires that a back end gets no more requests from a gateway that passed on an
	// answer in which the back end announced that it is leaving.
	PromiseNotice Promise = "leaving, told in answers"
	// PromiseRetryAfter requires that a back end that refused a request with a Retry-After gets at
	// most restExtra requests from that gateway between restGrace and the end of that time.
	PromiseRetryAfter Promise = "rest that was asked for"
	// PromiseEvacuation requires that the back ends of an evacuated zone get no more requests.
	PromiseEvacuation Promise = "evacuations"
	// PromiseWarmUp requires that a cold back end gets requests only at a limited rate.
	PromiseWarmUp Promise = "warm-up"
	// PromiseConfiguration requires that requests are handled as a configuration in force allows.
	PromiseConfiguration Promise = "configuration"
	// PromiseNoneLost requires that a request that ran is answered completely.
	PromiseNoneLost Promise = "no request lost"
	// PromiseSilence requires that a request that ran isn't ended before its time because its back end is
	// silent: it gets a back end's whole answer or a refusal.
	PromiseSilence Promise = "silence ends no answer sooner"
	// PromiseUnframed requires that an answer which ends with its connection is passed on whole if it is whole.
	// The other promises require that a broken one isn't taken for whole.
	PromiseUnframed Promise = "answers that end with their connection"
	// PromiseFocus requires that requests are served at the first attempt that a gateway has read, while most new
	// connections go to one gateway, at least three quarters as often as before.
	PromiseFocus Promise = "served while connections go to one gateway"
	// PromiseTimely requires that callers get an answer before they stop waiting, and that an answer
	// whose status means that the request wasn't run has a Retry-After.
	PromiseTimely Promise = "given up in time, with a time to come back"
	// PromiseRecovery requires that almost all requests are served once all faults are over.
	PromiseRecovery Promise = "recovery"
	// PromiseWithheld requires that requests that are known to crash back ends are withheld.
	PromiseWithheld Promise = "what crashes back ends is withheld"
	// PromiseSound requires that sound requests which share the key or the first part with requests that crash
	// back ends go on beginning.
	PromiseSound Promise = "sound requests begin beside crashing ones"
	// PromiseStart requires that a gateway that was stopped or killed starts again.
	PromiseStart Promise = "gateways start"
	// PromiseAlive requires that a gateway ends only when it is told to, and a planned stop in time and without an error.
	PromiseAlive Promise = "gateways end only when told to"
	// PromiseExposure requires that a defective version gets few requests, and none once its
	// failures are known.
	PromiseExposure Promise = "a bad version gets little"
	// PromiseVersion requires that all events of a stream, also over several requests of its caller, come
	// from one software version.
	PromiseVersion Promise = "one version a stream"
	// PromiseTakenUp requires that streams that callers take up again go on, at least half as often as new
	// ones begin.
	PromiseTakenUp Promise = "streams that are taken up go on"
	// PromiseVerdict requires that the verdict on a version isn't replaced by a different state.
	PromiseVerdict Promise = "one verdict on a version"
)
