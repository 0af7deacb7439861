// Package promise decides when a caller may be told that its request has not run. Callers take the
// statuses 408, 421, 429 and 503 as a promise that it has not and never will, and send it again even
// if it may run only once.
package promise

import (
	"net/http"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Statement is what a worker's answer states about whether the worker ran the request.
type Statement uint8

const (
	// Answer means that the answer is the worker's to the request, and may be passed on.
	Answer Statement = iota
	// NotRun means that the worker did not run the request and will not.
	NotRun
	// Nothing means that the worker may have run the request but has no answer to it: it failed with a
	// status by which callers would take the request as not run, or its status contradicts its mark.
	Nothing
)

// StatementOf returns what an answer with the status states. marked is set if it bears the mark by which
// workers state that they did not run the request.
func StatementOf(status int, marked bool) Statement {
	rejects := status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError
	switch {
	case status == http.StatusMisdirectedRequest, marked && rejects:
		return NotRun
	case marked, failure.PromisesNotRun(status):
		return Nothing
	}
	return Answer
}

// Sends is what is known about whether a request has run. Each send may run it; only a proof that it did
// not, from the connection or the worker, takes a send back. The zero value is ready for use.
type Sends struct{ unproven int }

// Begin records that the request is about to be sent to a worker.
func (s *Sends) Begin() { s.unproven++ }

// Disprove records a proof that the worker of the latest send did not run the request and will not.
func (s *Sends) Disprove() { s.unproven-- }

// MayHaveRun reports whether a worker may have run the request.
func (s *Sends) MayHaveRun() bool { return s.unproven > 0 }

// Allows reports whether the caller may get the status, be it a worker's or the process's own.
func (s *Sends) Allows(status int) bool { return !failure.PromisesNotRun(status) || !s.MayHaveRun() }
