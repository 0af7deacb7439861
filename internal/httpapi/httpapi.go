// Package httpapi holds what the HTTP interfaces for callers and operators share: reading bodies up
// to a limit, parsing counts in queries, and writing typed failures.
package httpapi

import (
	"io"
	"net/http"
	"strconv"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
)

// defaultMaxBody is the limit of a body in bytes if the configuration sets none.
const defaultMaxBody = 16 << 20

// ReadBody reads a whole body of at most limit bytes; a limit of zero means the default of 16 MiB. The
// memory of what has arrived, not of the announced length, is charged to the request.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if request.ContentLength > limit {
		return nil, rejectLongBody(request, limit)
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	// One byte more, if there is one, shows that a body without a length is too long.
	longest := limit + 1
	if request.ContentLength > 0 {
		longest = request.ContentLength
	}
	body, err := intake.ReadAll(request.Context(), request.Body, longest)
	if err == nil && int64(len(body)) < request.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case failure.Is(err, failure.NotRun):
		return nil, err
	case err != nil:
		return nil, failure.Wrap(err, failure.BadRequest, "send the whole body", "the body broke off")
	case int64(len(body)) > limit:
		return nil, rejectLongBody(request, limit)
	}
	// net/http detects a disconnect of the caller only after the end of the body has been read.
	_, _ = request.Body.Read(make([]byte, 1))
	return body, nil
}

// bodyTooLongField marks the rejection of a body over the limit.
const bodyTooLongField = "body"

// rejectLongBody reads and discards up to limit more bytes, because a caller that is still writing
// when the connection closes does not see the response.
func rejectLongBody(request *http.Request, limit int64) error {
	// The request is rejected even if the read fails.
	_, _ = io.CopyN(io.Discard, request.Body, limit)
	return failure.New(failure.BadRequest, "send a shorter body", "the body is longer than %d bytes", limit).WithField(bodyTooLongField)
}

// ParseCount parses an integer of 0 or more from a query; an empty value counts as 0.
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

// WriteBody writes a response with the given body.
func WriteBody(writer http.ResponseWriter, contentType string, body []byte) {
	writer.Header().Set("Content-Type", contentType)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A write fails only if the caller has disconnected.
	_, _ = writer.Write(body)
}

// headTooLongField marks the rejection of a request head over the limit.
const headTooLongField = "head"

// CheckHeaderSize rejects a request whose head is longer than limit bytes; zero means no limit.
func CheckHeaderSize(request *http.Request, limit int) error {
	if limit <= 0 {
		return nil
	}
	if HeaderSize(request) <= limit {
		return nil
	}
	return failure.New(failure.BadRequest, "send shorter headers", "the head is longer than %d bytes", limit).WithField(headTooLongField)
}

// HeaderSize returns the size of a request's head in bytes.
func HeaderSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// StatusCode returns the HTTP status of a failure.
func StatusCode(typed *failure.Error) int {
	switch typed.Field {
	case bodyTooLongField:
		return http.StatusRequestEntityTooLarge
	case headTooLongField:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return typed.Kind.HTTPStatus()
}

// WriteFailure writes a typed failure, with a Retry-After header if the failure has a retry time.
func WriteFailure(writer http.ResponseWriter, status int, typed *failure.Error) {
	if typed.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(typed.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(typed.Kind.String() + ": " + typed.Message + "\n")
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	// A write fails only if the caller has disconnected.
	_, _ = writer.Write(body)
}
