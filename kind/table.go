package kind

import (
	"net/http"
	"time"
)

// retryAfterOverload gives an overloaded service time to recover before callers
// repeat their requests.
const retryAfterOverload = time.Second

// retryAfterOutage exceeds the time that a reconnect to the membership or the log
// takes.
const retryAfterOutage = 2 * time.Second

// Responses maps every kind to its response. docs/call-contract.md shows the same
// table; a test compares the two.
var Responses = map[Kind]Response{
	Malformed:          {http.StatusBadRequest, false, NotRun, 0, "Correct the request; it is refused again unchanged."},
	UnknownService:     {http.StatusNotFound, false, NotRun, 0, "Check the Host header; no policy names this service."},
	KeyRequired:        {http.StatusBadRequest, false, NotRun, 0, "Send an Idempotency-Key; the class is non-idempotent."},
	KeyMalformed:       {http.StatusBadRequest, false, NotRun, 0, "Send a UUID version 7, an issued key, or 1 to 128 visible ASCII characters."},
	KeyReused:          {http.StatusUnprocessableEntity, false, NotRun, 0, "Use a new key; this one belongs to another request."},
	KeyExpired:         {http.StatusConflict, false, MayHaveRun, 0, "Look up the effect at the service before sending it under a new key."},
	Loop:               {http.StatusLoopDetected, false, NotRun, 0, "Remove the cycle from the call graph."},
	TooDeep:            {http.StatusLoopDetected, false, NotRun, 0, "Shorten the call chain or raise the policy's depth bound."},
	TooLarge:           {http.StatusRequestEntityTooLarge, false, NotRun, 0, "Send a smaller request or raise the policy's bound."},
	Shed:               {http.StatusServiceUnavailable, true, NotRun, retryAfterOverload, "Repeat later; the service is overloaded."},
	ShedEarly:          {http.StatusServiceUnavailable, false, NotRun, retryAfterOverload, "Repeat later; a service this request needs is overloaded."},
	QueueTimeout:       {http.StatusServiceUnavailable, true, NotRun, retryAfterOverload, "Repeat later; the request waited too long."},
	RateLimited:        {http.StatusServiceUnavailable, true, NotRun, retryAfterOverload, "Repeat later; the target has announced how many requests a second it takes."},
	DeadlineExpired:    {http.StatusGatewayTimeout, false, MayHaveRun, 0, "Check the run state before repeating."},
	NoTarget:           {http.StatusServiceUnavailable, false, NotRun, retryAfterOutage, "Repeat later; no target of the service is ready."},
	Draining:           {http.StatusServiceUnavailable, true, NotRun, retryAfterOverload, "Repeat; another target takes it."},
	TargetRefused:      {http.StatusServiceUnavailable, true, NotRun, retryAfterOverload, "Repeat later; the target is full."},
	Starting:           {http.StatusServiceUnavailable, true, NotRun, retryAfterOverload, "Repeat; the target is not ready yet."},
	DialFailed:         {http.StatusBadGateway, true, NotRun, retryAfterOverload, "Repeat; the target could not be reached."},
	AllowanceExhausted: {http.StatusTooManyRequests, false, NotRun, 0, "Do not repeat within this chain; its retry allowance is used up."},
	ClaimUnavailable:   {http.StatusServiceUnavailable, false, NotRun, retryAfterOutage, "Repeat with the same key later. Use an issued key only if every earlier try was not run."},
	ClaimLost:          {http.StatusConflict, false, MayHaveRun, retryAfterOutage, "Repeat with the same key, or look up the effect at the service."},
	AlreadyRan:         {http.StatusConflict, false, Ran, 0, "Do not repeat; the request took effect, its answer is no longer kept."},
	Quarantined:        {http.StatusForbidden, false, NotRun, 0, "Do not repeat; the request crashed targets. Report it."},
	TargetCrashed:      {http.StatusBadGateway, true, MayHaveRun, 0, "Repeat only if the request is idempotent."},
	AnswerTruncated:    {http.StatusBadGateway, true, MayHaveRun, 0, "Repeat only if the request is idempotent."},
	AnswerTooLarge:     {http.StatusBadGateway, false, Ran, 0, "Ask for less, or raise the policy's bound."},
	AnswerMismatched:   {http.StatusBadGateway, true, MayHaveRun, 0, "Repeat only if the request is idempotent."},
	AnswerLate:         {http.StatusGatewayTimeout, false, MayHaveRun, 0, "Check the run state before repeating."},
	PeerLost:           {http.StatusBadGateway, true, MayHaveRun, 0, "Repeat only if the request is idempotent or carries a key."},
	Canceled:           {499, false, MayHaveRun, 0, "The caller left; nothing to do."},
	Internal:           {http.StatusInternalServerError, false, MayHaveRun, 0, "Report it with the request ID."},
	ConfigRejected:     {http.StatusConflict, false, NotRun, 0, "Read the reason, make the change from the current revision."},
	SettingsInvalid:    {http.StatusBadRequest, false, NotRun, 0, "Correct the settings file at the places named."},
	LogUnavailable:     {http.StatusServiceUnavailable, true, MayHaveRun, retryAfterOutage, "Repeat with the same change ID; it counts once."},
}

// ResponseFor returns the response for k. A kind that is not in Responses, such as
// one sent by a newer peer, gets the response for Internal.
func ResponseFor(k Kind) Response {
	if r, ok := Responses[k]; ok {
		return r
	}
	return Responses[Internal]
}
