package wire

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// NewFailure returns err as a message, with its cause in the text.
func NewFailure(err error) *Failure {
	typed := failure.From(err)
	message := typed.Message
	if cause := typed.Unwrap(); cause != nil {
		message += ": " + cause.Error()
	}
	return &Failure{
		Kind:             uint8(typed.Kind),
		Message:          message,
		Remedy:           typed.Remedy,
		Field:            typed.Field,
		RetryAfterMillis: typed.RetryAfter.Milliseconds(),
	}
}

// Err returns the failure as a typed error, nil for none.
func (z *Failure) Err() error {
	if z == nil {
		return nil
	}
	return &failure.Error{
		Kind:       failure.Kind(z.Kind),
		Message:    z.Message,
		Remedy:     z.Remedy,
		Field:      z.Field,
		RetryAfter: time.Duration(z.RetryAfterMillis) * time.Millisecond,
	}
}
