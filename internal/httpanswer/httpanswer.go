// Package httpanswer decides whether an HTTP/1.1 answer can be believed: whether its head is valid, and
// whether its body is whole. Everything that reads answers asks it. net/http alone accepts heads that a
// proxy must not pass on.
package httpanswer

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// InvalidError is the failure of an answer that is no valid HTTP/1.1. Its sender may have run the request,
// and its connection must not be used again.
type InvalidError struct {
	// Fault says what is wrong, for logs.
	Fault string
}

// Error implements error.
func (e *InvalidError) Error() string { return "the answer is no valid HTTP: " + e.Fault }

// minStatus and maxStatus bound the statuses that RFC 9110 defines. Callers get no other.
const (
	minStatus = 100
	maxStatus = 599
)

func invalid(format string, arguments ...any) error {
	return &InvalidError{Fault: fmt.Sprintf(format, arguments...)}
}

// isInterim reports whether another head follows one with the status.
func isInterim(status int) bool { return status >= 100 && status < 200 }

// CheckHead returns an InvalidError unless the head that net/http has read is valid: its version is 1.x, its
// status is one of 100 to 599, no switch to another protocol, and the names of its fields are tokens.
// Clients of net/http that don't use a Reader wrap their transport in a Transport, which calls CheckHead.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1:
		return invalid("version %q", response.Proto)
	case status < minStatus || status > maxStatus:
		return invalid("status %03d", status)
	case status == http.StatusSwitchingProtocols:
		return invalid("a switch of protocols that was not asked for")
	case strings.ContainsFunc(response.Status, isControl):
		return invalid("a control byte in the reason phrase")
	}
	return checkNames(response.Header)
}

// CheckTrailer returns an InvalidError unless the names of the fields after the last chunk are tokens.
func CheckTrailer(response *http.Response) error { return checkNames(response.Trailer) }

func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid("a field with the name %.40q", name)
		}
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// IsMarked reports whether the sender of an answer marks the end of its body, by a length or by chunks. The
// end of any other body is that of its connection.
func IsMarked(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// Ending is what is known about the end of a body that was read without an error.
type Ending struct {
	// Marked is set if the sender marks the end.
	Marked bool
	// RequestTaken is set if the sender had received the whole request before the end. Otherwise it may
	// have reset the connection: a write that fails clears the reset from the socket, and the next read
	// sees a plain end.
	RequestTaken bool
	// SameStart is set if the sender is shown to be the same start of its process as the one that got the
	// request.
	SameStart bool
}

// IsWhole reports whether the end shows that the body is whole.
func (e Ending) IsWhole() bool { return e.Marked || e.RequestTaken && e.SameStart }
