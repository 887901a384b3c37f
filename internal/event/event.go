package event

import (
	"io"

	"github.com/rs/zerolog"
)

// Code is the number of an event. Numbers are never reused.
type Code int

// The codes of the events.
const (
	Started           Code = 100
	Ready             Code = 101
	Stopping          Code = 102
	Stopped           Code = 103
	StopTimedOut      Code = 104
	Unready           Code = 105
	SettingsReloaded  Code = 106
	SettingsRejected  Code = 107
	PeerConnected     Code = 200
	PeerLost          Code = 201
	PeerRefused       Code = 202
	RelayLost         Code = 203
	RouteChosen       Code = 300
	RouteRefused      Code = 301
	RequestEnded      Code = 302
	RequestRejected   Code = 303
	AnswerResumed     Code = 304
	AttemptVoided     Code = 310
	AttemptUnsettled  Code = 311
	TargetLeaving     Code = 330
	CrashKnown        Code = 331
	CrashUnreadable   Code = 332
	SuspectCleared    Code = 333
	RetryRefused      Code = 334
	SegmentsSuspected Code = 335
	SegmentConvicted  Code = 336
	SegmentCleared    Code = 337
	CrashWithdrawn    Code = 338
	CrashProbed       Code = 339
	LoadGranted       Code = 340
	AttemptSent       Code = 350
	AttemptEnded      Code = 351
	StreamResumed     Code = 352
	RequestWaiting    Code = 353
	TargetAvoided     Code = 355
	LinesDropped      Code = 356
	RequestFailed     Code = 357
	TargetStill       Code = 358
	PacingSkipped     Code = 359
	CallersClosed     Code = 360
	TargetDeparting   Code = 361
	TargetBackoff     Code = 362
	TargetLimited     Code = 363
	TargetUnlimited   Code = 364
	StreamTakenUp     Code = 365
	OriginRetracted   Code = 366

	ConfirmationExpired   Code = 370
	ConfirmationRenewed   Code = 371
	ConfigurationOutdated Code = 372
	WorkspacesMissing     Code = 373

	QuotaIssuerBegan  Code = 375
	QuotaChanged      Code = 376
	QuotaIssuerChosen Code = 377
	OverQuota         Code = 378
	QuotaUnanswered   Code = 379
	RequestShed       Code = 380
	ShareExceeded     Code = 381
	TargetSlow        Code = 385
	TargetNotSlow     Code = 386
	CallerStalled     Code = 390
	CallerDropped     Code = 391
	RequestExplained  Code = 395
	RequestQueued     Code = 400
	RequestNotRun     Code = 401
	RequestStarted    Code = 402
	RequestFinished   Code = 403
	AdapterLoading    Code = 410
	AdapterLoaded     Code = 411
	AdapterLoadFailed Code = 412
	AdapterUnloading  Code = 413
	EngineOrdered     Code = 414
	EngineOrdersHeld  Code = 415
	EngineRestarted   Code = 420
	EngineUnreachable Code = 421
	EngineReachable   Code = 422
	EngineDeparting   Code = 423
	EngineBackoff     Code = 424
	PacingStarted     Code = 425
	LimitRelayed      Code = 426
	TargetRegistered  Code = 430
	TargetReplaced    Code = 431
	ClaimTaken        Code = 440
	ClaimDecided      Code = 441
	ClaimDeferred     Code = 442
	ClaimWriteDropped Code = 443
	ProcessPaused     Code = 450
	RequestRequeued   Code = 460
	AdapterAdopted    Code = 461
	AdapterMissing    Code = 462
	DrainBegun        Code = 480
	EngineCrashed     Code = 481
	RevisionInForce   Code = 500
	RevisionRejected  Code = 501
	SectionCorrupt    Code = 502
	RevisionFromPeer  Code = 503
	StoreUnavailable  Code = 510
	DutyChanged       Code = 511
	StoreAvailable    Code = 512
	HistoryGone       Code = 513
	StoreRestored     Code = 514
	MembersChanged    Code = 520
	MemberLeaving     Code = 521
	TargetChanged     Code = 522
	TargetUnreadable  Code = 523
	VersionAnnounced  Code = 524
	EntryUnconfirmed  Code = 525
)

// definition is the entry of an event in the catalogue.
type definition struct {
	code        Code
	name        string
	level       zerolog.Level
	description string
}

// catalogue lists the events in order of their codes.
var catalogue = []definition{
	{Started, "started", zerolog.InfoLevel, "The process has read its settings and listens."},
	{Ready, "ready", zerolog.InfoLevel, "The process has a configuration and takes requests."},
	{Stopping, "stopping", zerolog.InfoLevel, "A graceful shutdown has begun: the process takes no new work and finishes the work in progress."},
	{Stopped, "stopped", zerolog.InfoLevel, "The process exits after its last request."},
	{StopTimedOut, "stop_timed_out", zerolog.ErrorLevel, "The shutdown timed out or another signal came; `requests` is the number of interrupted requests."},
	{Unready, "unready", zerolog.InfoLevel, "The readiness probe fails, for a `reason` or because of a shutdown; all requests are still served `for` a while, so that the load balancer sends new connections elsewhere."},
	{SettingsReloaded, "settings_reloaded", zerolog.InfoLevel, "The settings file was read again; `changed` says whether it differs. New limits apply from now on."},
	{SettingsRejected, "settings_rejected", zerolog.ErrorLevel, "The settings file can't be used; the old settings stay in force."},
	{PeerConnected, "peer_connected", zerolog.InfoLevel, "A peer connection is open and both sides have proved that they know the peer key."},
	{PeerLost, "peer_lost", zerolog.WarnLevel, "A peer connection ended or its peer was silent for too long; `error` is the cause."},
	{PeerRefused, "peer_refused", zerolog.WarnLevel, "A process without the right peer key tried to connect."},
	{RelayLost, "relay_lost", zerolog.InfoLevel, "A connection of the overlay network could not be opened or ended; the next peer in rank replaces it."},
	{RouteChosen, "route_chosen", zerolog.InfoLevel, "Routing decision: the request's next attempt goes to `target`; `reason` says why this target was chosen."},
	{RouteRefused, "route_refused", zerolog.InfoLevel, "The target refused an attempt before running it; `reason` is the target's."},
	{RequestEnded, "request_ended", zerolog.InfoLevel, "The outcome was sent to the caller; `waited` is the time spent waiting for an adapter, `held` that waiting for another request with a suspect prompt segment, `first_event` the time until the first event of a stream, `gap` the longest time between two events."},
	{RequestRejected, "request_rejected", zerolog.InfoLevel, "The request was rejected by entryd, before any target."},
	{AnswerResumed, "answer_resumed", zerolog.InfoLevel, "A response continues over a new connection from part `next`."},
	{AttemptVoided, "attempt_voided", zerolog.InfoLevel, "An attempt whose target stopped responding was voided in the record of its idempotency key: it did not run and never will."},
	{AttemptUnsettled, "attempt_unsettled", zerolog.WarnLevel, "The outcome of a lost attempt is unknown; `reason` says why."},
	{TargetLeaving, "target_leaving", zerolog.InfoLevel, "The target is leaving: it gets no new work, and its targetd is notified if it is connected."},
	{CrashKnown, "crash_known", zerolog.WarnLevel, "The entryd knows of a crash, shown by `source`: the targetd, a probe, the target's entry, a response of another target at its address, or another entryd. The requests `in_flight` are suspects until they are answered."},
	{CrashUnreadable, "crash_unreadable", zerolog.ErrorLevel, "The record of a crash could not be read."},
	{SuspectCleared, "suspect_cleared", zerolog.InfoLevel, "A suspect was answered and is no longer a suspect."},
	{RetryRefused, "retry_refused", zerolog.WarnLevel, "The retry budget of the service is exhausted: the caller gets the last attempt's outcome."},
	{SegmentsSuspected, "segments_suspected", zerolog.WarnLevel, "The target crashed; `segments` are the prompt segments in flight that had no answer then and have had none since, at most 16."},
	{SegmentConvicted, "segment_convicted", zerolog.ErrorLevel, "The prompt segment crashes targets: it was in flight at `crashes` crashes. Requests with it are refused."},
	{SegmentCleared, "segment_cleared", zerolog.InfoLevel, "A target began to answer a request with the prompt segment, which is no longer a suspect of the crashes before."},
	{CrashWithdrawn, "crash_withdrawn", zerolog.InfoLevel, "The target answered a request that was sent after its supposed crash: connections to it were only refused."},
	{CrashProbed, "crash_probed", zerolog.InfoLevel, "The address of `target` was probed after a connection to it broke. `result` says whether some process listens there (`accepted`), none does (`refused`) or neither was seen in time (`undecided`); `refusals` is the number of probes in a row that were refused at the end, `error` that of the last one."},
	{LoadGranted, "load_granted", zerolog.InfoLevel, "Placement decision: `target` may load one adapter for `team` with a load permit that another target transferred."},
	{AttemptSent, "attempt_sent", zerolog.InfoLevel, "Routing decision: an attempt is sent directly to `target`, which runs `version` of its software; `load`, `ahead` (tokens of prompts that it reads before), `wait` and `state_age` are the values behind the decision, `permit` is the time waited for permits so far."},
	{AttemptEnded, "attempt_ended", zerolog.WarnLevel, "An attempt did not answer the request: `outcome` says whether it was refused, failed or broke off. For a refusal, `earlier` is the number of requests sent before over its connection and `skipped` that of responses to other requests that preceded it."},
	{StreamResumed, "stream_resumed", zerolog.InfoLevel, "A broken stream continues at another target of the same `version` after event `last_event`."},
	{RequestWaiting, "request_waiting", zerolog.InfoLevel, "The request waits until `target` has loaded its adapter."},
	{TargetAvoided, "target_avoided", zerolog.WarnLevel, "The target failed and gets no requests `for` a while, unless there is no other target."},
	{LinesDropped, "lines_dropped", zerolog.WarnLevel, "The log could not be written fast enough and `lines` routine lines were dropped."},
	{RequestFailed, "request_failed", zerolog.WarnLevel, "The caller got no response from a target: `status` and `reason` are what it received; `targets` lists the attempts with the values behind each decision."},
	{TargetStill, "target_still", zerolog.WarnLevel, "Nothing was received from the target's VM for a while (`silent`): `attempts` that had received nothing from it were ended."},
	{PacingSkipped, "pacing_skipped", zerolog.WarnLevel, "The targetd of `target` did not admit the prompt in the time that was forecast; the request is sent without its admission."},
	{CallersClosed, "callers_closed", zerolog.InfoLevel, "Idle `connections` of callers were closed; `reason` says why."},
	{TargetDeparting, "target_departing", zerolog.InfoLevel, "The target, its targetd or its entry (`source`) says that the target leaves: until it starts again it gets no requests but those that have begun and that no live target can go on with, for the time `serves_for`, whatever its entry says; `in_flight` requests continue there."},
	{TargetBackoff, "target_backoff", zerolog.InfoLevel, "The target turned a request away and gets none `for` a while, also if there is no other target; later answers may extend it."},
	{TargetLimited, "target_limited", zerolog.WarnLevel, "The target takes only `rate` requests a second from all entryds together, according to `source`: a response, or the targetd that heard of it."},
	{TargetUnlimited, "target_unlimited", zerolog.InfoLevel, "The target no longer limits the rate of requests, according to `source`; the limit stood `for` that time."},
	{StreamTakenUp, "stream_taken_up", zerolog.InfoLevel, "A caller takes up the `stream` that began with the request of that id, after event `last_event`. It began at `version` of `service`; that many targetds were `asked`. If it is not continued, `reason` says why."},
	{OriginRetracted, "origin_retracted", zerolog.InfoLevel, "`target` had started again, so that a stream which began there `age` before may not be of `version`; it is not continued."},
	{ConfirmationExpired, "confirmation_expired", zerolog.WarnLevel, "The configuration was last confirmed as the store's newest `age` ago, which is too long, or never if `confirmed` is false: requests that need a key are rejected, those on public routes are served."},
	{ConfirmationRenewed, "confirmation_renewed", zerolog.InfoLevel, "The configuration is confirmed again; keys were rejected `for` that time."},
	{ConfigurationOutdated, "configuration_outdated", zerolog.WarnLevel, "The store has an older `revision` than the one `in_force`, which stays in force but is not confirmed."},
	{WorkspacesMissing, "workspaces_missing", zerolog.ErrorLevel, "The configuration `revision` has no workspaces, though the one before had some: callers still need a key, and there is none. Public routes are served."},
	{QuotaIssuerBegan, "quota_issuer_began", zerolog.InfoLevel, "This targetd issues the credit of the quota of `workspace`, at the request of the entryd `from`; while `starting`, at a part of the `rate`. It is the `first` choice or replaces one that can't be reached. That many `entryds` are known."},
	{QuotaChanged, "quota_changed", zerolog.InfoLevel, "The `rate` and `burst` of the quota of `workspace` changed with a configuration; a rate of zero is no limit."},
	{QuotaIssuerChosen, "quota_issuer_chosen", zerolog.InfoLevel, "The entryd requests the credit for a `group` of workspaces from the targetd of `target` (empty: none is connected) instead of that of `before`; it is the `first` choice or replaces one that can't be reached."},
	{OverQuota, "over_quota", zerolog.InfoLevel, "That many `requests` of `workspace` were rejected with 429 since the last such line, because its quota is used up; `credit` is what is left at this entryd, `wait` the time until there is credit again."},
	{QuotaUnanswered, "quota_unanswered", zerolog.WarnLevel, "That many `requests` of `workspace` were rejected with 503 since the last such line, because the issuer of its credit did not answer in time."},
	{RequestShed, "request_shed", zerolog.InfoLevel, "Admission decision: the request is rejected because its forecast `wait` at the best `target` exceeds a `limit`; `reason` says which, `standing` is that of its workspace's share."},
	{ShareExceeded, "share_exceeded", zerolog.InfoLevel, "Requests of the workspace are rejected because it has `used` its `fair` part of the engine time of this process's requests to the service; at most once a second."},
	{TargetSlow, "target_slow", zerolog.InfoLevel, "Work takes longer at the target than normally, by the product of the factor that it `reported` and the factor that is learned for reading prompts (`read`) or for other work (`work`). It gets fewer requests."},
	{TargetNotSlow, "target_not_slow", zerolog.InfoLevel, "The target is not slow any more, or not observed."},
	{CallerStalled, "caller_stalled", zerolog.WarnLevel, "The `caller` took no byte of its response for a while; the connection was reset with `unread` bytes left, and its request, if one is in progress, canceled."},
	{CallerDropped, "caller_dropped", zerolog.WarnLevel, "The responses that callers do not read exceed the memory for them: the connection of the `caller`, one of the slowest, was reset with `unread` bytes left, and its request, if one is in progress, canceled."},
	{RequestExplained, "request_explained", zerolog.InfoLevel, "An operator (`from`) asked what the process would do with a request; nothing was sent."},
	{RequestQueued, "request_queued", zerolog.DebugLevel, "The target queued an attempt."},
	{RequestNotRun, "request_not_run", zerolog.InfoLevel, "The target refused an attempt that it had not started."},
	{RequestStarted, "request_started", zerolog.DebugLevel, "The request was sent to the engine or service."},
	{RequestFinished, "request_finished", zerolog.DebugLevel, "The request ended at the engine or service."},
	{AdapterLoading, "adapter_loading", zerolog.InfoLevel, "Placement decision: the engine is ordered to load `adapter`; `reason` says why."},
	{AdapterLoaded, "adapter_loaded", zerolog.InfoLevel, "The engine has loaded `adapter` in `took`."},
	{AdapterLoadFailed, "adapter_load_failed", zerolog.WarnLevel, "The engine could not load `adapter`."},
	{AdapterUnloading, "adapter_unloading", zerolog.InfoLevel, "Placement decision: the engine is ordered to unload `adapter`; `reason` says why."},
	{EngineOrdered, "engine_ordered", zerolog.InfoLevel, "Placement decision: the engine is ordered to load or unload `adapter` in the state that `started` and `sequence` identify; `outcome` says whether it accepted the order."},
	{EngineOrdersHeld, "engine_orders_held", zerolog.InfoLevel, "Placement decision: the engine gets another order, or none, because it may still execute orders that got no response; at most once a second."},
	{EngineRestarted, "engine_restarted", zerolog.WarnLevel, "The engine restarted and lost its adapters."},
	{EngineUnreachable, "engine_unreachable", zerolog.WarnLevel, "The engine does not respond."},
	{EngineReachable, "engine_reachable", zerolog.InfoLevel, "The engine responds."},
	{EngineDeparting, "engine_departing", zerolog.InfoLevel, "The engine says in a response that it leaves: it gets no more orders until it starts again."},
	{EngineBackoff, "engine_backoff", zerolog.InfoLevel, "The engine turned a call of its targetd away: it gets no orders `for` a while, and its state is not read."},
	{PacingStarted, "pacing_started", zerolog.InfoLevel, "Too many of the engine's streams have late events: its prompts are paced."},
	{LimitRelayed, "limit_relayed", zerolog.InfoLevel, "An entryd (`from`) stated the limit of `target`, or its end, for which this targetd issues permits; the other entryds are told."},
	{TargetRegistered, "target_registered", zerolog.InfoLevel, "The target is registered with `epoch` as its fencing token."},
	{TargetReplaced, "target_replaced", zerolog.ErrorLevel, "Another process registered this target; this process takes no more work."},
	{ClaimTaken, "claim_taken", zerolog.DebugLevel, "The target holds the claim on a request's idempotency key, before it runs the request."},
	{ClaimDecided, "claim_decided", zerolog.InfoLevel, "The record of the idempotency key decided a request without a run; `state` is the state of the record and `reason` the reason of the outcome."},
	{ClaimDeferred, "claim_deferred", zerolog.WarnLevel, "The object API did not complete a claim operation; the request waits until its start-by time."},
	{ClaimWriteDropped, "claim_write_dropped", zerolog.ErrorLevel, "The outcome of a claim was not recorded; later requests with its key get `unknown`."},
	{ProcessPaused, "process_paused", zerolog.WarnLevel, "The process was paused for longer than the silence timeout; it closed its connections and starts nothing that was received over them."},
	{RequestRequeued, "request_requeued", zerolog.InfoLevel, "The engine did not run a started attempt, because it lacked the adapter or restarted; the attempt waits again."},
	{AdapterAdopted, "adapter_adopted", zerolog.InfoLevel, "The engine holds an adapter that the target did not know of; it is recorded as resident."},
	{AdapterMissing, "adapter_missing", zerolog.WarnLevel, "The engine does not hold an adapter that the target had recorded as resident; it is recorded as absent."},
	{DrainBegun, "drain_begun", zerolog.InfoLevel, "The target takes no more work and refuses queued requests; `from` is the process that requested the drain, empty for a signal."},
	{EngineCrashed, "engine_crashed", zerolog.ErrorLevel, "The engine crashed; the requests `in_flight` become suspects."},
	{RevisionInForce, "revision_in_force", zerolog.InfoLevel, "A newer configuration is in force in this process."},
	{RevisionRejected, "revision_rejected", zerolog.ErrorLevel, "A configuration could not be read; the older one stays in force."},
	{SectionCorrupt, "section_corrupt", zerolog.ErrorLevel, "A section from `from` does not match its digest and is requested from the next source."},
	{RevisionFromPeer, "revision_from_peer", zerolog.DebugLevel, "A peer has newer state; what is missing is requested from it."},
	{StoreUnavailable, "store_unavailable", zerolog.WarnLevel, "The object API did not respond; the process continues with the state that it has."},
	{DutyChanged, "duty_changed", zerolog.InfoLevel, "The process started or stopped watching the object API for its availability zone."},
	{StoreAvailable, "store_available", zerolog.InfoLevel, "The object API responds again after `away`."},
	{HistoryGone, "history_gone", zerolog.InfoLevel, "The object API no longer has the changes since `version`, or they exceed 16 MiB; everything is listed again."},
	{StoreRestored, "store_restored", zerolog.WarnLevel, "The platform's store has returned to an earlier state, in another `history`: its `version` was `version_before`, and versions are given out again. All objects are read again."},
	{MembersChanged, "members_changed", zerolog.InfoLevel, "The set of known targets changed."},
	{MemberLeaving, "member_leaving", zerolog.InfoLevel, "According to the platform's list, the VM of `target` is leaving; the target's registration was marked as leaving."},
	{TargetChanged, "target_changed", zerolog.InfoLevel, "The platform's entry of `target`, which runs `version` of its software, changed; `state` is the new state: `refuted` if another target has answered at its address, `confirmed` if it has answered itself since, `superseded` while a later start of its service is used there."},
	{TargetUnreadable, "target_unreadable", zerolog.WarnLevel, "The platform's entry of `target` can't be used; the other entries stay valid."},
	{VersionAnnounced, "version_announced", zerolog.InfoLevel, "A version of an adapter was announced."},
	{EntryUnconfirmed, "entry_unconfirmed", zerolog.WarnLevel, "The restored store lists the entry of a `target` that was gone since `gone`; the target gets no requests until it writes the entry again or the entry has stayed for a while."},
}

var definitions = func() map[Code]definition {
	m := make(map[Code]definition, len(catalogue))
	for _, d := range catalogue {
		m[d.code] = d
	}
	return m
}()

// Log writes events. The zero Log is not usable; Discard writes nothing.
type Log struct {
	logger zerolog.Logger
}

// timeFormat includes milliseconds, so that the lines of several processes can be
// merged in order of time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a log that writes JSON lines at or above level to w. Each line
// contains the names of the program and of the process.
func New(w io.Writer, program, name string, level zerolog.Level) Log {
	z := zerolog.New(w).Level(level).With().Timestamp().Str("program", program).Str("process", name).Logger()
	return Log{logger: z}
}

// Discard returns a log that writes nothing.
func Discard() Log { return Log{logger: zerolog.Nop()} }

// Event starts the line of an event. The caller adds fields and calls Send. It
// panics if the catalogue does not contain the code.
func (l Log) Event(code Code) *zerolog.Event {
	d, ok := definitions[code]
	if !ok {
		panic("event: code is not in the catalogue")
	}
	return l.logger.WithLevel(d.level).Int("event", int(d.code)).Str("name", d.name)
}
