package intake

import (
	"io"
	"net/http"
	"time"
)

const (
	// discardTime and discardBytes bound what is read of a body that nobody needs before its request is
	// answered. If it is longer, the connection is closed after the answer.
	discardTime  = 50 * time.Millisecond
	discardBytes = 64 << 10
	// lingerTime is how long a body is read after such an answer: a connection that is closed with
	// unread bytes may lose the answer.
	lingerTime = 250 * time.Millisecond
	// answerTime and answerBytesPerSecond bound the time in which a client takes a part of an answer.
	answerTime           = 10 * time.Second
	answerBytesPerSecond = 64 << 10
	// largeAnswerBytes is the size from which on the request of an answer that is not taken may give way
	// to others.
	largeAnswerBytes = 64 << 10
)

// responseWriter answers a request. It adds to net/http's: an answer doesn't wait for a body that stays
// open, and a client has a bounded time to take it.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	request    *request
	// body is the request's body, nil if it has none.
	body            *body
	expectsContinue bool
	headWritten     bool
	// ownDeadline is set once the handler has set a write deadline itself.
	ownDeadline bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetWriteDeadline sets the deadline for writes. The writer then sets none of its own.
func (w *responseWriter) SetWriteDeadline(deadline time.Time) error {
	w.ownDeadline = true
	return w.controller.SetWriteDeadline(deadline)
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.headWritten {
		w.headWritten = true
		w.endBody()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	if !w.ownDeadline {
		_ = w.controller.SetWriteDeadline(time.Now().Add(answerTime + time.Duration(len(data))*time.Second/answerBytesPerSecond))
	}
	if len(data) < largeAnswerBytes {
		return w.ResponseWriter.Write(data)
	}
	w.setWriting(true)
	defer w.setWriting(false)
	w.request.charge.Unkeep(time.Now())
	if w.request.charge.Revoked() {
		return 0, http.ErrHandlerTimeout
	}
	return w.ResponseWriter.Write(data)
}

func (w *responseWriter) setWriting(writing bool) {
	w.request.mutex.Lock()
	defer w.request.mutex.Unlock()
	w.request.writing = writing
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	// Only the writers of tests can't flush.
	_ = w.controller.Flush()
}

// endBody reads a short rest of the body. If the body doesn't end soon, it announces that the connection
// is closed after the answer, so that net/http does not wait for the body before it writes the answer.
func (w *responseWriter) endBody() {
	if w.body == nil || w.body.ended {
		return
	}
	if !w.request.isRevoked() && !w.expectsContinue {
		until := time.Now().Add(discardTime)
		_ = w.controller.SetReadDeadline(until)
		_, _ = io.CopyN(io.Discard, w.body, discardBytes)
		if w.body.ended && time.Now().Before(until) {
			_ = w.controller.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
}

// finish bounds what net/http does after the handler: it writes what is buffered, and reads the rest of
// the body.
func (w *responseWriter) finish() {
	if !w.headWritten {
		w.headWritten = true
		w.endBody()
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(answerTime))
	if w.body != nil && !w.body.ended {
		_ = w.controller.SetReadDeadline(time.Now().Add(lingerTime))
	}
}
