// Package failure defines the typed errors that cross a process boundary. An error states the
// kind of the failure, what the reader can do about it and, if waiting helps, how long to wait.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies a failure. The set is closed: every error that reaches a
// caller, an operator or a peer has exactly one of these kinds.
type Kind uint8

const (
	// Internal is a fault of the system itself.
	Internal Kind = iota
	// NotRun means that the request certainly did not run and may be sent again.
	NotRun
	// OutcomeUnknown means that the request may have run, completely or in part.
	OutcomeUnknown
	// Conflict means that the request contradicts state accepted earlier.
	Conflict
	// OverLimit means that a limit of the tenant was reached.
	OverLimit
	// DeadlineExceeded means that the request's deadline has passed.
	DeadlineExceeded
	// BadRequest means that the request is malformed or out of range.
	BadRequest
	// Unauthenticated means that the key is missing or unknown.
	Unauthenticated
	// Forbidden means that the key is valid but does not permit the request.
	Forbidden
	// NotFound means that the named object does not exist.
	NotFound
)

// kindProperties holds the name and HTTP status of a kind.
type kindProperties struct {
	name   string
	status int
}

var properties = [...]kindProperties{
	Internal:         {"internal", http.StatusInternalServerError},
	NotRun:           {"not_run", http.StatusServiceUnavailable},
	OutcomeUnknown:   {"outcome_unknown", http.StatusBadGateway},
	Conflict:         {"conflict", http.StatusConflict},
	OverLimit:        {"over_limit", http.StatusTooManyRequests},
	DeadlineExceeded: {"deadline_exceeded", http.StatusGatewayTimeout},
	BadRequest:       {"bad_request", http.StatusBadRequest},
	Unauthenticated:  {"unauthenticated", http.StatusUnauthorized},
	Forbidden:        {"forbidden", http.StatusForbidden},
	NotFound:         {"not_found", http.StatusNotFound},
}

// String returns the stable name used in JSON bodies, logs and metrics.
func (k Kind) String() string {
	if int(k) >= len(properties) {
		return properties[Internal].name
	}
	return properties[k].name
}

// HTTPStatus returns the HTTP status code that carries the kind.
func (k Kind) HTTPStatus() int {
	if int(k) >= len(properties) {
		return http.StatusInternalServerError
	}
	return properties[k].status
}

// PromisesNotRun reports whether callers take an HTTP status as a promise that their request has not run
// and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Truthful returns err, unless its status promises that nothing ran although something may have run. Then
// it returns a failure of kind OutcomeUnknown with the cause err.
func Truthful(err error, mayHaveRun bool) error {
	if err == nil || !mayHaveRun || !PromisesNotRun(KindOf(err).HTTPStatus()) {
		return err
	}
	return Wrap(err, OutcomeUnknown, "send it again if it may be repeated", "an earlier attempt may have run")
}

// ParseKind returns the kind with the given name; an unknown name is Internal.
func ParseKind(name string) Kind {
	for kind, property := range properties {
		if property.name == name {
			return Kind(kind)
		}
	}
	return Internal
}

// Error is a typed failure. Message says what happened and Remedy what the reader can do.
// Field is the path of the invalid input field, empty if none is at fault. RetryAfter is the
// time to wait before the next attempt, zero if waiting does not help.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	Field      string
	RetryAfter time.Duration
	cause      error
}

// New returns a typed failure with a formatted message.
func New(kind Kind, remedy, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, arguments...), Remedy: remedy}
}

// Wrap returns a typed failure caused by err.
func Wrap(err error, kind Kind, remedy, format string, arguments ...any) *Error {
	wrapped := New(kind, remedy, format, arguments...)
	wrapped.cause = err
	return wrapped
}

// WithField sets the path of the input field at fault and returns the failure.
func (e *Error) WithField(path string) *Error {
	e.Field = path
	return e
}

// WithRetryAfter sets the time to wait before the next attempt and returns the failure.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error implements error: field, message, cause and remedy in one line.
func (e *Error) Error() string {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += " (" + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as a typed failure. An untyped error becomes Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, "report this with the request id", "unexpected failure")
}

// KindOf returns the kind of err, which must not be nil; an untyped error is Internal.
func KindOf(err error) Kind { return From(err).Kind }

// Is reports whether err is a typed failure of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
