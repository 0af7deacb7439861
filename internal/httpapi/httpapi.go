// Package httpapi reads and writes what the HTTP interfaces towards callers and
// operators have in common: whole bodies within a bound, counts in queries, typed
// failures.
package httpapi

import (
	"io"
	"net/http"
	"strconv"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// defaultMaxBody bounds a body where the configuration does not, in bytes.
const defaultMaxBody = 16 << 20

// ReadBody reads a whole body of at most limit bytes, where zero means a default.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if request.ContentLength > limit {
		return nil, refuseLong(request, limit)
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > 0 {
		body := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, body); err != nil {
			return nil, failure.Wrap(err, failure.BadRequest, "send the whole body", "the body broke off")
		}
		// The end must be seen, or the end of the connection is not noticed.
		_, _ = request.Body.Read(make([]byte, 1))
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "send the whole body", "the body broke off")
	}
	if int64(len(body)) > limit {
		return nil, refuseLong(request, limit)
	}
	return body, nil
}

// tooLongField marks the refusal of a body over the bound.
const tooLongField = "body"

// refuseLong passes over as much again as is allowed, because a caller that still
// writes when the connection closes does not see the answer.
func refuseLong(request *http.Request, limit int64) error {
	// What breaks off here is refused all the same.
	_, _ = io.CopyN(io.Discard, request.Body, limit)
	return failure.New(failure.BadRequest, "send a shorter body", "the body is longer than %d bytes", limit).WithField(tooLongField)
}

// ParseCount reads a whole number of 0 or more from a query; nothing counts as 0.
func ParseCount(value, field string) (int, error) {
	if value == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 0 {
		return 0, failure.New(failure.BadRequest, "use a whole number of 0 or more", "%q is no count", value).WithField(field)
	}
	return count, nil
}

// WriteBody answers with a whole body.
func WriteBody(writer http.ResponseWriter, contentType string, body []byte) {
	writer.Header().Set("Content-Type", contentType)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A failed write means that the caller has gone.
	_, _ = writer.Write(body)
}

// longHeadField marks the refusal of a head over the bound.
const longHeadField = "head"

// CheckHeaderSize refuses a request whose head is longer than limit bytes, where zero
// means no bound of its own.
func CheckHeaderSize(request *http.Request, limit int) error {
	if limit <= 0 {
		return nil
	}
	if HeaderSize(request) <= limit {
		return nil
	}
	return failure.New(failure.BadRequest, "send shorter headers", "the head is longer than %d bytes", limit).WithField(longHeadField)
}

// HeaderSize returns the length of a request's head in bytes.
func HeaderSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// StatusCode returns the status that goes with a failure.
func StatusCode(typed *failure.Error) int {
	switch typed.Field {
	case tooLongField:
		return http.StatusRequestEntityTooLarge
	case longHeadField:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return typed.Kind.HTTPStatus()
}

// WriteFailure answers with a typed failure, and with when to come back where
// the request has not run.
func WriteFailure(writer http.ResponseWriter, status int, typed *failure.Error) {
	if typed.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(typed.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(typed.Kind.String() + ": " + typed.Message + "\n")
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	// A failed write means that the caller has gone.
	_, _ = writer.Write(body)
}
