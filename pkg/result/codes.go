package result

import "strconv"

// Codes 1xx: the request is wrong and did not run.
const (
	BadRequest             Code = 101
	BodyTooLarge           Code = 102
	Unauthenticated        Code = 103
	UnknownClass           Code = 104
	ModelNotAllowed        Code = 105
	IdempotencyKeyRequired Code = 106
	IdempotencyKeyReused   Code = 107
	BadSession             Code = 108
	BadHeader              Code = 109
	NotFound               Code = 110
	MethodNotAllowed       Code = 111
	OperatorKeyRequired    Code = 112
	RequestTimeout         Code = 113
	Misdirected            Code = 114
)

// Codes 2xx: the request exceeds the current capacity or a limit.
const (
	QueueFull            Code = 201
	DeadlineUnmeetable   Code = 202
	RateLimited          Code = 203
	SpendLimited         Code = 204
	NoRunner             Code = 205
	TooManyRequests      Code = 206
	ColdStartLimited     Code = 207
	LinkBudgetExhausted  Code = 208
	RetryBudgetExhausted Code = 209
	PromptQuarantined    Code = 210
	MemoryExhausted      Code = 211
)

// Codes 3xx: an upstream failed.
const (
	ConnectFailed   Code = 301
	UpstreamRefused Code = 302
	UpstreamError   Code = 303
	StreamCut       Code = 304
	UpstreamTimeout Code = 305
	UpstreamSilent  Code = 306
	AnswerMismatch  Code = 307
	CallerCancelled Code = 308
	AnswerTooLarge  Code = 309
)

// Codes 4xx: configuration, versions and failure domains.
const (
	NoConfiguration    Code = 401
	VersionWithdrawn   Code = 402
	PublishConflict    Code = 403
	DomainOutOfService Code = 404
	DeclarationError   Code = 405
	SettingsError      Code = 406
	SnapshotRefused    Code = 407
	TicketExpired      Code = 408
)

// Codes 5xx: the platform's object API and features that depend on it.
const (
	PlatformUnavailable Code = 501
	OutcomeUnknown      Code = 502
	InProgress          Code = 503
	ObjectConflict      Code = 504
	ObjectNotFound      Code = 505
	ObjectTooLarge      Code = 506
	PlatformLimited     Code = 507
	LeaseLost           Code = 508
	LedgerFull          Code = 509
)

// Codes 6xx: the node itself.
const (
	Draining   Code = 601
	Internal   Code = 602
	Isolated   Code = 603
	PeerFailed Code = 604
	BadMessage Code = 605
)

// Codes 7xx: the command line.
const (
	UsageError        Code = 701
	InvariantViolated Code = 702
	BoundExceeded     Code = 703
	NodeUnreachable   Code = 704
	ScenarioFailed    Code = 705
)

// Table lists every code in ascending order.
var Table = []Info{
	{BadRequest, "bad_request", 400, "The request body is not a valid request."},
	{BodyTooLarge, "body_too_large", 413, "The request body or its headers exceed the declared limit."},
	{Unauthenticated, "unauthenticated", 401, "The API key is missing or belongs to no organisation."},
	{UnknownClass, "unknown_class", 400, "The request class is not declared."},
	{ModelNotAllowed, "model_not_allowed", 403, "The organisation may not use the model or version."},
	{IdempotencyKeyRequired, "idempotency_key_required", 400, "A non-idempotent request has no Idempotency-Key."},
	{IdempotencyKeyReused, "idempotency_key_reused", 422, "The Idempotency-Key was used with another body."},
	{BadSession, "bad_session", 400, "The session token is malformed, expired or of another organisation."},
	{BadHeader, "bad_header", 400, "A request header has an invalid value."},
	{NotFound, "not_found", 404, "No such path, service or model."},
	{MethodNotAllowed, "method_not_allowed", 405, "The path does not accept the method."},
	{OperatorKeyRequired, "operator_key_required", 401, "The operator interface needs a valid operator key."},
	{RequestTimeout, "request_timeout", 408, "The request did not arrive completely in time."},
	{Misdirected, "misdirected", 421, "The request came to an address that serves no callers."},
	{QueueFull, "queue_full", 429, "The admission queue of the organisation or class is full."},
	{DeadlineUnmeetable, "deadline_unmeetable", 503, "The request cannot be answered before its deadline."},
	{RateLimited, "rate_limited", 429, "The organisation's rate limit is reached."},
	{SpendLimited, "spend_limited", 429, "The organisation's spend limit is reached."},
	{NoRunner, "no_runner", 503, "No runner of an allowed version is available."},
	{TooManyRequests, "too_many_requests", 503, "The node's concurrency limit is reached."},
	{ColdStartLimited, "cold_limited", 503, "All available runners are in cold start and at their bound."},
	{LinkBudgetExhausted, "link_budget", 503, "Only the other region has runners and the link budget is used up."},
	{RetryBudgetExhausted, "retry_budget", 503, "The attempt failed and the retry budget is used up."},
	{PromptQuarantined, "prompt_quarantined", 503, "Upstreams crashed on a part of the prompt; requests with it are held back."},
	{MemoryExhausted, "memory_exhausted", 503, "The node has no memory left for the request's body."},
	{ConnectFailed, "connect_failed", 502, "No connection to the upstream could be made."},
	{UpstreamRefused, "upstream_refused", 502, "The upstream refused the request before running it."},
	{UpstreamError, "upstream_error", 502, "The upstream answered with an error."},
	{StreamCut, "stream_cut", 502, "The answer ended before its terminal marker."},
	{UpstreamTimeout, "upstream_timeout", 504, "The upstream did not answer in time."},
	{UpstreamSilent, "upstream_silent", 504, "The connection to the upstream went silent."},
	{AnswerMismatch, "answer_mismatch", 502, "The upstream's answer belongs to another attempt."},
	{CallerCancelled, "caller_cancelled", 499, "The caller closed the connection before the answer ended."},
	{AnswerTooLarge, "answer_too_large", 502, "The upstream's answer exceeds the limit."},
	{NoConfiguration, "no_configuration", 503, "The node has no configuration yet, or does not know whether it has the newest."},
	{VersionWithdrawn, "version_withdrawn", 409, "The requested version is withdrawn."},
	{PublishConflict, "publish_conflict", 409, "Another operator published first; nothing was written."},
	{DomainOutOfService, "domain_out", 503, "The only usable failure domains are taken out."},
	{DeclarationError, "declaration_error", 422, "A declaration is invalid; file, line and reason are given."},
	{SettingsError, "settings_error", 0, "A process setting is invalid; file, line and reason are given."},
	{SnapshotRefused, "snapshot_refused", 0, "A configuration was refused as a whole; the previous one stays in force."},
	{TicketExpired, "ticket_expired", 503, "The policy decision for an attempt is too old to be used."},
	{PlatformUnavailable, "platform_away", 503, "The platform's object API cannot be reached and the request needs it."},
	{OutcomeUnknown, "outcome_unknown", 502, "The request was sent and its outcome could not be learned."},
	{InProgress, "in_progress", 409, "A request with the same Idempotency-Key is still running."},
	{ObjectConflict, "object_conflict", 409, "A conditional update found another version."},
	{ObjectNotFound, "object_not_found", 404, "The platform has no object with this key."},
	{ObjectTooLarge, "object_too_large", 413, "The value exceeds the platform's limit of 1 MB."},
	{PlatformLimited, "platform_limited", 429, "The platform or the node's own limit refused the call."},
	{LeaseLost, "lease_lost", 409, "The lease lapsed or is held by another node."},
	{LedgerFull, "ledger_full", 503, "The ledger's memory limit is reached while the platform is away."},
	{Draining, "draining", 503, "The node is leaving and takes no new requests."},
	{Internal, "internal", 500, "An unexpected error; the log has the cause."},
	{Isolated, "isolated", 503, "The node cannot reach most other nodes."},
	{PeerFailed, "peer_failed", 502, "A peer did not answer."},
	{BadMessage, "bad_message", 400, "A message from a peer is malformed."},
	{UsageError, "usage_error", 0, "The command line is wrong."},
	{InvariantViolated, "promise_broken", 0, "A demo or bench run counted a violated invariant."},
	{BoundExceeded, "bound_exceeded", 0, "A bench result exceeds its bound."},
	{NodeUnreachable, "node_unreached", 0, "No node's operator interface could be reached."},
	{ScenarioFailed, "scenario_failed", 0, "A bench scenario could not be run."},
}

var infoByCode = indexTable()

func indexTable() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, info := range Table {
		m[info.Code] = info
	}
	return m
}

// Info returns the description of c; ok is false for an unknown code.
func (c Code) Info() (info Info, ok bool) {
	info, ok = infoByCode[c]
	return info, ok
}

// String returns the stable name of c.
func (c Code) String() string {
	if info, ok := infoByCode[c]; ok {
		return info.Name
	}
	return "code_" + strconv.Itoa(int(c))
}

// HTTPStatus returns the HTTP status for c, 500 if it has none.
func (c Code) HTTPStatus() int {
	if info, ok := infoByCode[c]; ok && info.HTTPStatus != 0 {
		return info.HTTPStatus
	}
	return 500
}
