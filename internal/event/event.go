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
	LoadGranted       Code = 340
	AttemptSent       Code = 350
	AttemptEnded      Code = 351
	StreamResumed     Code = 352
	RequestWaiting    Code = 353
	CrashSuspected    Code = 354
	TargetAvoided     Code = 355
	LinesDropped      Code = 356
	RequestFailed     Code = 357
	TargetStill       Code = 358
	RequestQueued     Code = 400
	RequestNotRun     Code = 401
	RequestStarted    Code = 402
	RequestFinished   Code = 403
	AdapterLoading    Code = 410
	AdapterLoaded     Code = 411
	AdapterLoadFailed Code = 412
	AdapterUnloading  Code = 413
	EngineOrdered     Code = 414
	EngineRestarted   Code = 420
	EngineUnreachable Code = 421
	EngineReachable   Code = 422
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
	MembersChanged    Code = 520
	MemberLeaving     Code = 521
	TargetChanged     Code = 522
	TargetUnreadable  Code = 523
	VersionAnnounced  Code = 524
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
	{Stopping, "stopping", zerolog.InfoLevel, "A planned stop has begun: no new work, work in progress goes on."},
	{Stopped, "stopped", zerolog.InfoLevel, "The process ends after its last request."},
	{StopTimedOut, "stop_timed_out", zerolog.ErrorLevel, "The stop's deadline passed or another signal came; `requests` says how many were cut."},
	{Unready, "unready", zerolog.InfoLevel, "Readiness says no, for a `reason` or because of a stop; then everything is still served `for` a while, so that the balancer looks elsewhere."},
	{SettingsReloaded, "settings_reloaded", zerolog.InfoLevel, "The settings file was read again; `changed` says whether it differs. New bounds hold from now on."},
	{SettingsRejected, "settings_rejected", zerolog.ErrorLevel, "The settings file can't be used; the old settings stay in force."},
	{PeerConnected, "peer_connected", zerolog.InfoLevel, "A peer connection is open and both sides proved the key."},
	{PeerLost, "peer_lost", zerolog.WarnLevel, "A peer connection ended or went silent; `error` says how."},
	{PeerRefused, "peer_refused", zerolog.WarnLevel, "A process without the right peer key tried to connect."},
	{RelayLost, "relay_lost", zerolog.InfoLevel, "A connection kept for news could not be opened or ended; the next best peer takes its place."},
	{RouteChosen, "route_chosen", zerolog.InfoLevel, "Routing decision: the request's next attempt goes to `target`; `reason` says why that one."},
	{RouteRefused, "route_refused", zerolog.InfoLevel, "The target refused an attempt before running it; `reason` is the target's."},
	{RequestEnded, "request_ended", zerolog.InfoLevel, "The caller was told the outcome; `waited` is the time spent on waiting for an adapter, `first_event` that until the first event of a stream."},
	{RequestRejected, "request_rejected", zerolog.InfoLevel, "The request was refused at the entry, before any target."},
	{AnswerResumed, "answer_resumed", zerolog.InfoLevel, "An answer goes on over a new connection from part `next`."},
	{AttemptVoided, "attempt_voided", zerolog.InfoLevel, "An attempt whose target stopped answering was excluded in its key's record: it did not run and never will."},
	{AttemptUnsettled, "attempt_unsettled", zerolog.WarnLevel, "What became of a lost attempt is not known; `reason` says why."},
	{TargetLeaving, "target_leaving", zerolog.InfoLevel, "The target leaves: it gets no new work, and its targetd is told if it is connected."},
	{CrashKnown, "crash_known", zerolog.WarnLevel, "The entry knows of a crash; the requests `in_flight` are suspects until they are answered."},
	{CrashUnreadable, "crash_unreadable", zerolog.ErrorLevel, "The record of a crash could not be read."},
	{SuspectCleared, "suspect_cleared", zerolog.InfoLevel, "A suspect was answered and is no longer one."},
	{RetryRefused, "retry_refused", zerolog.WarnLevel, "The retry budget of the service is spent: the caller is told the last attempt's outcome."},
	{LoadGranted, "load_granted", zerolog.InfoLevel, "Placement decision: `target` may load one adapter for `team` with a right that another target gave."},
	{AttemptSent, "attempt_sent", zerolog.InfoLevel, "Routing decision: an attempt goes straight to `target`; `load`, `ahead` (requests without an event yet), `wait` and `state_age` are what decided."},
	{AttemptEnded, "attempt_ended", zerolog.WarnLevel, "An attempt did not answer the request: `outcome` says whether it was refused, failed or broke."},
	{StreamResumed, "stream_resumed", zerolog.InfoLevel, "A broken stream goes on at another target after event `last_event`."},
	{RequestWaiting, "request_waiting", zerolog.InfoLevel, "The request waits until `target` has loaded its adapter."},
	{CrashSuspected, "crash_suspected", zerolog.WarnLevel, "An engine crashed while it ran the request; `crashes` counts the engines that did."},
	{TargetAvoided, "target_avoided", zerolog.WarnLevel, "The target failed and gets no requests `for` a while, unless there is no other."},
	{LinesDropped, "lines_dropped", zerolog.WarnLevel, "The log could not be written fast enough and `lines` routine lines were left out."},
	{RequestFailed, "request_failed", zerolog.WarnLevel, "The caller got no answer from a target: `status` and `reason` say what it was told; `targets` names the attempts with what decided them."},
	{TargetStill, "target_still", zerolog.WarnLevel, "The target's VM gave no sign for a while (`silent`): `attempts` that got nothing from it were ended."},
	{RequestQueued, "request_queued", zerolog.DebugLevel, "The target took an attempt into its queue."},
	{RequestNotRun, "request_not_run", zerolog.InfoLevel, "The target refused an attempt that it had not started."},
	{RequestStarted, "request_started", zerolog.DebugLevel, "The engine or service was given the request."},
	{RequestFinished, "request_finished", zerolog.DebugLevel, "The engine or service ended the request."},
	{AdapterLoading, "adapter_loading", zerolog.InfoLevel, "Placement decision: the engine is ordered to load `adapter`; `reason` says why."},
	{AdapterLoaded, "adapter_loaded", zerolog.InfoLevel, "The engine has loaded `adapter` in `took`."},
	{AdapterLoadFailed, "adapter_load_failed", zerolog.WarnLevel, "The engine could not load `adapter`."},
	{AdapterUnloading, "adapter_unloading", zerolog.InfoLevel, "Placement decision: the engine is ordered to unload `adapter`; `reason` says why."},
	{EngineOrdered, "engine_ordered", zerolog.InfoLevel, "Placement decision: the engine is ordered to load or unload `adapter` in the state that `sequence` names; `outcome` says whether it accepted."},
	{EngineRestarted, "engine_restarted", zerolog.WarnLevel, "The engine restarted and lost its adapters."},
	{EngineUnreachable, "engine_unreachable", zerolog.WarnLevel, "The engine does not answer."},
	{EngineReachable, "engine_reachable", zerolog.InfoLevel, "The engine answers."},
	{TargetRegistered, "target_registered", zerolog.InfoLevel, "The target is registered with `epoch` as its fencing number."},
	{TargetReplaced, "target_replaced", zerolog.ErrorLevel, "Another process registered this target; this one takes no more work."},
	{ClaimTaken, "claim_taken", zerolog.DebugLevel, "The target holds the claim of a request's idempotency key, before its run."},
	{ClaimDecided, "claim_decided", zerolog.InfoLevel, "The idempotency key's record decided a request without a run; `verdict` and `reason` say how."},
	{ClaimDeferred, "claim_deferred", zerolog.WarnLevel, "The object API did not settle a claim; the request waits until its start-by time."},
	{ClaimWriteDropped, "claim_write_dropped", zerolog.ErrorLevel, "A claim's outcome was not recorded; later requests with its key hear `unknown`."},
	{ProcessPaused, "process_paused", zerolog.WarnLevel, "The process stood still for longer than the silence timeout; it dropped its connections and starts nothing that came over them."},
	{RequestRequeued, "request_requeued", zerolog.InfoLevel, "The engine did not run a started attempt, because it lacked the adapter or restarted; the attempt waits again."},
	{AdapterAdopted, "adapter_adopted", zerolog.InfoLevel, "The engine holds an adapter that the target did not know of; it counts as resident."},
	{AdapterMissing, "adapter_missing", zerolog.WarnLevel, "The engine does not hold an adapter that the target counted as resident; it counts as absent."},
	{DrainBegun, "drain_begun", zerolog.InfoLevel, "The target takes no more work and refuses what waits; `from` says who asked, empty for a signal."},
	{EngineCrashed, "engine_crashed", zerolog.ErrorLevel, "The engine crashed; the requests `in_flight` become suspects."},
	{RevisionInForce, "revision_in_force", zerolog.InfoLevel, "A newer configuration is in force in this process."},
	{RevisionRejected, "revision_rejected", zerolog.ErrorLevel, "A configuration could not be read and the older one stays."},
	{SectionCorrupt, "section_corrupt", zerolog.ErrorLevel, "A section from `from` does not have its digest and is asked of the next source."},
	{RevisionFromPeer, "revision_from_peer", zerolog.DebugLevel, "A peer is ahead and is asked for what is missing."},
	{StoreUnavailable, "store_unavailable", zerolog.WarnLevel, "The object API did not answer; the process goes on with what it knows."},
	{DutyChanged, "duty_changed", zerolog.InfoLevel, "The process began or ceased to watch the object API for its availability zone."},
	{StoreAvailable, "store_available", zerolog.InfoLevel, "The object API answers again after `away`."},
	{HistoryGone, "history_gone", zerolog.InfoLevel, "The object API no longer has the changes since `version`; everything is listed again."},
	{MembersChanged, "members_changed", zerolog.InfoLevel, "The set of known targets changed."},
	{MemberLeaving, "member_leaving", zerolog.InfoLevel, "The platform's list says that the VM of `target` is leaving, and its registration was marked."},
	{TargetChanged, "target_changed", zerolog.InfoLevel, "The platform's entry of `target` changed; `state` is the new one."},
	{TargetUnreadable, "target_unreadable", zerolog.WarnLevel, "The platform's entry of `target` can't be used; the others hold."},
	{VersionAnnounced, "version_announced", zerolog.InfoLevel, "A version of an adapter was announced."},
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
