package failure

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON body of an error response, in the format that existing client libraries
// of chat-completion services expect.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the typed failure inside an error response.
type Detail struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	Param      string `json:"param,omitempty"`
	Remedy     string `json:"remedy,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// NewBody returns the JSON body for err.
func NewBody(err error, requestID string) Body {
	typed := From(err)
	return Body{Error: Detail{
		Message:    typed.Error(),
		Type:       typed.Kind.String(),
		Code:       typed.Kind.String(),
		Param:      typed.Field,
		Remedy:     typed.Remedy,
		RequestID:  requestID,
		RetryAfter: typed.RetryAfter.Milliseconds(),
	}}
}

// WriteHTTP answers an HTTP request with err: status, Retry-After (in whole seconds, rounded
// up) and JSON body.
func WriteHTTP(writer http.ResponseWriter, err error, requestID string) {
	typed := From(err)
	writer.Header().Set("Content-Type", "application/json")
	if typed.RetryAfter > 0 {
		seconds := int(math.Ceil(typed.RetryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writer.WriteHeader(typed.Kind.HTTPStatus())
	// A failed write means that the client has disconnected, so the error can't be reported.
	_ = json.NewEncoder(writer).Encode(NewBody(err, requestID))
}

// Failure returns the typed failure that the body carries.
func (d Detail) Failure() *Error {
	return &Error{
		Kind:       ParseKind(d.Type),
		Message:    d.Message,
		Field:      d.Param,
		RetryAfter: time.Duration(d.RetryAfter) * time.Millisecond,
	}
}
