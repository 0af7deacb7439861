// Package httpanswer decides whether an HTTP/1.1 answer can be believed. Everything that reads answers
// asks it.
package httpanswer

import "net/http"

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
