// Package rpc carries the system's own messages between its processes: one HTTP POST per
// call, with MessagePack bodies, long-lived connections and typed failures. It neither
// chooses peers nor retries; its callers do.
package rpc

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/decodeerror"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// PathPrefix is the prefix of the path of every internal call.
	PathPrefix = "/internal/v1/"
	// ContentType is the media type of internal bodies.
	ContentType = "application/x-msgpack"
	// failureHeader marks a response whose body is a wire.Failure; its value is the kind.
	failureHeader = "Sedgemast-Failure"
	// generationHeader holds the generation of the sender's build. It is part of every
	// request and response, so its name is short: the header takes 8 bytes.
	generationHeader = "Gen"
	// MaxBodyBytes bounds the body of one internal call.
	MaxBodyBytes = 32 << 20
	// bodyTimeout bounds the time in which a call's body arrives.
	bodyTimeout = 30 * time.Second
)

// currentGeneration is this build's generation as the value of generationHeader.
var currentGeneration = strconv.Itoa(int(wire.GenerationCurrent))

// Router registers HTTP handlers; kratos' HTTP server implements it.
type Router interface {
	HandleFunc(path string, handler http.HandlerFunc)
}

// Decodable is a pointer to T that decodes itself from MessagePack.
type Decodable[T any] interface {
	*T
	msgp.Unmarshaler
}

// Handle registers the handler of the calls of a method.
func Handle[Request any, Pointer Decodable[Request]](router Router, method string, handler func(context.Context, *Request) (msgp.Marshaler, error)) {
	router.HandleFunc(PathPrefix+method, func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Request
		if err := readRequest(writer, httpRequest, Pointer(&request)); err != nil {
			recordDecodeError(method, httpRequest.RemoteAddr, httpRequest.Header, err)
			WriteFailure(writer, err)
			return
		}
		response, err := handler(httpRequest.Context(), &request)
		if err == nil {
			err = holdEncoded(httpRequest.Context(), response)
		}
		if err != nil {
			WriteFailure(writer, err)
			return
		}
		body, encoding, err := encodeBody(response)
		if err != nil {
			WriteFailure(writer, err)
			return
		}
		setHeader(writer.Header())
		if encoding != "" {
			writer.Header().Set(encodingHeader, encoding)
		}
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// A failed write means that the peer has disconnected; its call fails on its side.
		_, _ = writer.Write(body)
	})
}

// readRequest reads the message of a call.
func readRequest(writer http.ResponseWriter, httpRequest *http.Request, message msgp.Unmarshaler) error {
	controller := http.NewResponseController(writer)
	// Only the writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := ReadMessage(httpRequest.Context(), httpRequest.Header, httpRequest.Body, message); err != nil {
		return err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// holdEncoded charges the call for its encoded response and for the compressed one. The call has run, so
// the failure promises nothing.
func holdEncoded(ctx context.Context, response msgp.Marshaler) error {
	sizer, ok := response.(msgp.Sizer)
	if !ok {
		return nil
	}
	if err := intake.Hold(ctx, 2*int64(sizer.Msgsize())); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "ask again", "the answer is too long for now")
	}
	return nil
}

// originSetter is a message that records the generation of the build that sent it.
type originSetter interface {
	SetGeneration(generation wire.Generation)
}

// generationOf returns the generation of the build that sent the header: GenerationFirst,
// which sends none, if the header has no valid one.
func generationOf(header http.Header) wire.Generation {
	generation, err := strconv.ParseUint(header.Get(generationHeader), 10, 8)
	if err != nil {
		return wire.GenerationFirst
	}
	return wire.Generation(generation)
}

// decodeError marks a body that was received whole but could not be decoded.
type decodeError struct{ cause error }

// Error implements error.
func (e *decodeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *decodeError) Unwrap() error { return e.cause }

// recordDecodeError records a message that was received whole but could not be decoded;
// other errors are ignored.
func recordDecodeError(method, from string, header http.Header, err error) {
	var decodeErr *decodeError
	if errors.As(err, &decodeErr) {
		decodeerror.Record(method, from, generationOf(header), err)
	}
}

// ReadMessage decodes the one message of a body of at most MaxBodyBytes that was received
// with the header. Its memory is charged to the request that the context belongs to, if any.
func ReadMessage(ctx context.Context, header http.Header, body io.Reader, message msgp.Unmarshaler) error {
	data, err := readBody(ctx, header, body)
	if err != nil {
		return err
	}
	rest, err := message.UnmarshalMsg(data)
	if err != nil {
		return failure.Wrap(&decodeError{err}, failure.BadRequest, "look up in the other's log which build it is", "the body does not decode")
	}
	if len(rest) > 0 {
		return failure.Wrap(&decodeError{errors.New("the message is followed by others")}, failure.BadRequest, "send one message per call", "%d bytes follow the message", len(rest))
	}
	if message, ok := message.(originSetter); ok {
		message.SetGeneration(generationOf(header))
	}
	return nil
}

// setHeader sets the headers that all responses share. It suppresses the Date header, which
// no reader needs and which would be sent with every response.
func setHeader(header http.Header) {
	header.Set("Content-Type", ContentType)
	header.Set(generationHeader, currentGeneration)
	header["Date"] = nil
}

// WriteFailure answers a call with a typed failure.
func WriteFailure(writer http.ResponseWriter, err error) {
	body, marshalErr := wire.NewFailure(err).MarshalMsg(nil)
	if marshalErr != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	setHeader(writer.Header())
	writer.Header().Set(failureHeader, failure.KindOf(err).String())
	writer.WriteHeader(failure.KindOf(err).HTTPStatus())
	_, _ = writer.Write(body)
}
