// Package refusal defines the errors with which requests are refused: their error
// codes, their HTTP status, and whether the request had an effect.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Effect states whether the refused request had an effect at an upstream.
type Effect string

// Effects of a refused request.
const (
	// NotRun is used only when no byte of the request was sent to an upstream,
	// or when the upstream states in its protocol that the request did not run.
	NotRun Effect = "not-run"
	// Unknown is used in all other cases.
	Unknown Effect = "unknown"
)

// Code identifies the reason of a refusal. Codes are part of the public API.
type Code string

// Codes of refusals, each with a fixed HTTP status.
const (
	BadRequest         Code = "bad_request"
	Unauthorised       Code = "unauthorised"
	Forbidden          Code = "forbidden"
	NoRoute            Code = "no_route"
	ModelNotFound      Code = "model_not_found"
	TooLarge           Code = "too_large"
	HeaderTooLarge     Code = "header_too_large"
	TooManyConnections Code = "too_many_connections"
	RequestTimeout     Code = "request_timeout"
	RateLimited        Code = "rate_limited"
	Overloaded         Code = "overloaded"
	DeadlineUnmeetable Code = "deadline_unmeetable"
	DeadlineExceeded   Code = "deadline_exceeded"
	NoUpstream         Code = "no_upstream"
	UpstreamFailed     Code = "upstream_failed"
	Draining           Code = "draining"
	NoConfiguration    Code = "no_configuration"
	Detached           Code = "detached"
	KeyRequired        Code = "idempotency_key_required"
	KeyConflict        Code = "idempotency_key_conflict"
	CallInFlight       Code = "call_in_flight"
	LogUnavailable     Code = "log_unavailable"
	OutcomeUnknown     Code = "outcome_unknown"
	OriginUnknown      Code = "origin_unknown"
	Quarantined        Code = "quarantined"
)

var statusByCode = map[Code]int{
	BadRequest:         http.StatusBadRequest,
	Unauthorised:       http.StatusUnauthorized,
	Forbidden:          http.StatusForbidden,
	NoRoute:            http.StatusNotFound,
	ModelNotFound:      http.StatusNotFound,
	TooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	TooManyConnections: http.StatusServiceUnavailable,
	RequestTimeout:     http.StatusRequestTimeout,
	RateLimited:        http.StatusTooManyRequests,
	Overloaded:         http.StatusServiceUnavailable,
	DeadlineUnmeetable: http.StatusServiceUnavailable,
	DeadlineExceeded:   http.StatusGatewayTimeout,
	NoUpstream:         http.StatusServiceUnavailable,
	UpstreamFailed:     http.StatusBadGateway,
	Draining:           http.StatusServiceUnavailable,
	NoConfiguration:    http.StatusServiceUnavailable,
	Detached:           http.StatusServiceUnavailable,
	KeyRequired:        http.StatusBadRequest,
	KeyConflict:        http.StatusConflict,
	CallInFlight:       http.StatusConflict,
	LogUnavailable:     http.StatusServiceUnavailable,
	OutcomeUnknown:     http.StatusBadGateway,
	OriginUnknown:      http.StatusServiceUnavailable,
	Quarantined:        http.StatusServiceUnavailable,
}

// PromisesNotRun reports whether a status tells callers that their request did not run
// and never will. A request that may have run never gets such a status.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Error is a refusal. Err is the cause. It is never shown to callers, since it may
// contain names of peers.
type Error struct {
	Code       Code
	Effect     Effect
	Message    string
	RetryAfter time.Duration // zero: no hint
	Err        error
}

// New returns a refusal of a request that did not run. Long texts among args are cut.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Effect: NotRun, Message: message(format, args...)}
}

// NewUnknown returns a refusal of a request that may have run. Long texts among args are
// cut.
func NewUnknown(code Code, cause error, format string, args ...any) *Error {
	return &Error{Code: code, Effect: Unknown, Message: message(format, args...), Err: cause}
}

// WithRetryAfter sets the time after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the cause of e, and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Err = err
	return e
}

// Error implements error. The text includes the cause, so it is not for callers.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s): %s", e.Code, e.Effect, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Effect, e.Message, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Status returns the HTTP status of the refusal's code, or 502 instead of one that
// callers take for the statement that the request did not run, if it may have run.
func (e *Error) Status() int {
	status, ok := statusByCode[e.Code]
	if !ok {
		return http.StatusInternalServerError
	}
	if e.Effect == Unknown && PromisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// Body is the JSON form of a refusal, in the error format of the OpenAI API.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the object inside Body.
type BodyError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	Effect  Effect `json:"effect"`
}

// Error types of the OpenAI API.
const (
	typeInvalid = "invalid_request_error"
	typeServer  = "server_error"
)

// Body returns the JSON form of e, without the cause.
func (e *Error) Body() Body {
	kind := typeServer
	if e.Status() < http.StatusInternalServerError {
		kind = typeInvalid
	}
	return Body{BodyError{Message: e.Message, Type: kind, Code: e.Code, Effect: e.Effect}}
}

// From returns the refusal in err's chain. An error without one is wrapped in a
// refusal with code UpstreamFailed and effect Unknown.
func From(err error) *Error {
	var r *Error
	if errors.As(err, &r) {
		return r
	}
	return NewUnknown(UpstreamFailed, err, "the request failed")
}
