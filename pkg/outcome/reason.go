package outcome

// Reason is the reason why a request was not answered. Its numbers are part of the
// peer protocol and are never reused.
type Reason uint8

// The reasons.
const (
	NoReason         Reason = iota
	BadRequest              // the request is malformed
	BadKey                  // the bearer key is not that of any team
	UnknownAdapter          // the team has no such adapter or version
	UnknownService          // the team has no such service
	NoTarget                // no live target accepts the request
	Overloaded              // queues are full
	Expired                 // the deadline or the start-by time passed
	Draining                // the target is draining and accepts no new requests
	WrongTarget             // the target does not serve this service, or its epoch changed
	OverQuota               // the quotas leave no capacity for the team
	LoadFailed              // the adapter could not be loaded
	Quarantined             // the request was found to crash targets, see package quarantine
	KeyMismatch             // the idempotency key was used for a different request
	KeyInProgress           // the idempotency key's first request has not ended
	StoreUnavailable        // the object API did not answer in time
	TargetLost              // the target stopped responding
	EngineFailed            // the engine did not complete the response
	Cancelled               // the caller disconnected
	NotReady                // the process has no configuration yet
	ResultExpired           // the answer to an earlier request with the key is not stored any more
	Behind                  // the target's configuration is older than the request's
	EngineCrashed           // the engine crashed while it ran the request
	reasonCount
)

var reasonNames = [reasonCount]string{
	NoReason:         "none",
	BadRequest:       "bad_request",
	BadKey:           "bad_key",
	UnknownAdapter:   "unknown_adapter",
	UnknownService:   "unknown_service",
	NoTarget:         "no_target",
	Overloaded:       "overloaded",
	Expired:          "expired",
	Draining:         "draining",
	WrongTarget:      "wrong_target",
	OverQuota:        "over_terms",
	LoadFailed:       "load_failed",
	Quarantined:      "quarantined",
	KeyMismatch:      "key_mismatch",
	KeyInProgress:    "key_in_progress",
	StoreUnavailable: "store_unavailable",
	TargetLost:       "target_lost",
	EngineFailed:     "engine_failed",
	Cancelled:        "cancelled",
	NotReady:         "not_ready",
	ResultExpired:    "result_expired",
	Behind:           "behind",
	EngineCrashed:    "engine_crashed",
}

// String returns the reason's code in error bodies, logs and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unrecognised"
	}
	return reasonNames[r]
}

// RetryElsewhere reports whether a request that was refused for reason r may
// succeed on another target, so that a retry there is worthwhile.
func (r Reason) RetryElsewhere() bool {
	switch r {
	case NoTarget, Overloaded, Draining, WrongTarget, OverQuota, LoadFailed, TargetLost, EngineFailed, NotReady, Behind, EngineCrashed:
		return true
	}
	return false
}

// Status returns the HTTP status with which r is reported to a caller.
func (r Reason) Status() int {
	switch r {
	case BadRequest:
		return 400
	case BadKey:
		return 401
	case UnknownAdapter, UnknownService:
		return 404
	case KeyMismatch, Quarantined:
		return 422
	case KeyInProgress, ResultExpired:
		return 409
	case Overloaded, OverQuota:
		return 429
	case Expired:
		return 504
	case TargetLost, EngineFailed, EngineCrashed:
		return 502
	case Cancelled:
		return 499 // not registered; client closed request, as in nginx
	}
	return 503
}
