// Package rpc carries the system's own messages between its processes: one
// POST per call over HTTP, MessagePack bodies, long-lived connections, typed
// failures. It chooses no peer and retries nothing; callers do.
package rpc

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/decodeerror"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// PathPrefix begins the path of every internal call.
	PathPrefix = "/internal/v1/"
	// ContentType is the media type of internal bodies.
	ContentType = "application/x-msgpack"
	// failureHeader marks a body that is a wire.Failure.
	failureHeader = "Sedgemast-Failure"
	// generationHeader tells the generation of the writer's build with each request and
	// answer. It is short because it travels with each: 8 bytes.
	generationHeader = "Gen"
	// MaxBodyBytes bounds the body of one internal call.
	MaxBodyBytes = 32 << 20
)

// currentGeneration is this build's generation as it is told.
var currentGeneration = strconv.Itoa(int(wire.GenerationCurrent))

// Router registers HTTP handlers; kratos' HTTP server implements it.
type Router interface {
	HandleFunc(path string, handler http.HandlerFunc)
}

// Decodable is a pointer to T that decodes itself.
type Decodable[T any] interface {
	*T
	msgp.Unmarshaler
}

// Handle registers a call handler under the method name.
func Handle[Request any, Pointer Decodable[Request]](router Router, method string, handler func(context.Context, *Request) (msgp.Marshaler, error)) {
	router.HandleFunc(PathPrefix+method, func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Request
		if err := ReadMessage(httpRequest.Header, httpRequest.Body, Pointer(&request)); err != nil {
			noteUnread(method, httpRequest.RemoteAddr, httpRequest.Header, err)
			WriteFailure(writer, err)
			return
		}
		response, err := handler(httpRequest.Context(), &request)
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
		// A failed write means that the peer has gone; its call fails there.
		_, _ = writer.Write(body)
	})
}

// originated is a message whose reader must know who wrote it.
type originated interface {
	WrittenBy(generation wire.Generation)
}

// generationOf returns the generation of the build that wrote a header.
func generationOf(header http.Header) wire.Generation {
	told, err := strconv.ParseUint(header.Get(generationHeader), 10, 8)
	if err != nil {
		return wire.GenerationFirst
	}
	return wire.Generation(told)
}

// formError marks a body that came whole and could not be read.
type formError struct{ cause error }

// Error implements error.
func (e *formError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *formError) Unwrap() error { return e.cause }

// noteUnread counts a message that came whole and could not be read.
func noteUnread(method, from string, header http.Header, err error) {
	var form *formError
	if errors.As(err, &form) {
		decodeerror.Record(method, from, generationOf(header), err)
	}
}

// ReadMessage decodes one whole body of at most MaxBodyBytes, which came with the
// header.
func ReadMessage(header http.Header, body io.Reader, message msgp.Unmarshaler) error {
	data, err := readBody(header, body)
	if err != nil {
		return err
	}
	rest, err := message.UnmarshalMsg(data)
	if err != nil {
		return failure.Wrap(&formError{err}, failure.BadRequest, "look up in the other's log which build it is", "the body does not decode")
	}
	if len(rest) > 0 {
		return failure.Wrap(&formError{errors.New("the message is followed by others")}, failure.BadRequest, "send one message per call", "%d bytes follow the message", len(rest))
	}
	if message, asks := message.(originated); asks {
		message.WrittenBy(generationOf(header))
	}
	return nil
}

// setHeader sets what answers have in common. The time of day is left out: nobody
// reads it, and it travels with every answer.
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
