package upstream

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// What is read of a worker is bounded in bytes by what a sound worker may send, and in time by the
// deadlines of its reader. docs/BOUNDS.md lists all readers.
const (
	// maxHeadBytes bounds all that comes before the body of an answer: its head and interim (1xx) answers.
	maxHeadBytes = 64 << 10
	// maxStrayBytes bounds the body of an answer to another request, which is at most that of a batch item.
	maxStrayBytes = 1 << 20
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
	// MaxFailureBytes bounds the body of an answer that is a failure.
	MaxFailureBytes = 64 << 10
	// maxAnswerBytes bounds the body of any other answer. If the request says how many tokens it asks for,
	// the bound is minAnswerBytes and maxTokenBytes for each, which has room for an event's framing.
	maxAnswerBytes = 64 << 20
	minAnswerBytes = 64 << 10
	maxTokenBytes  = 8 << 10
	// A body that is not needed is read if it is short and comes at once, since then the connection can
	// be used again.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// PartAnswer names the whole body of an answer in a LimitError.
const PartAnswer = "the answer"

// LimitError is the failure of a read because the worker sent more than a sound one may.
type LimitError struct {
	// What names the part of an answer that is bounded, Bytes is its bound.
	What  string
	Bytes int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the worker sent more than %d bytes of %s", e.Bytes, e.What)
}

// ExceededLimit returns what part of an answer was longer than a sound worker's, empty if err has
// another cause.
func ExceededLimit(err error) string {
	var limit *LimitError
	if errors.As(err, &limit) {
		return limit.What
	}
	return ""
}

// TooManyEvents reports whether an answer has more events than the tokens that its request asks for, given
// the value of the header for token counts. Each event with an id has a token at least.
func TooManyEvents(events int, tokens string) bool {
	_, most := httpheader.ParseTokenCounts(tokens)
	return most > 0 && int64(events) > most
}

// AnswerLimit returns the bound in bytes of the answer to a request with the given value of the header
// for token counts.
func AnswerLimit(tokens string) int64 {
	_, most := httpheader.ParseTokenCounts(tokens)
	if most <= 0 || most > maxAnswerBytes/maxTokenBytes {
		return maxAnswerBytes
	}
	return minAnswerBytes + most*maxTokenBytes
}
