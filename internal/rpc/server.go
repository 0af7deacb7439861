// Package rpc carries the system's own messages between its processes: one
// POST per call over HTTP, MessagePack bodies, long-lived connections, typed
// failures. It chooses no peer and retries nothing; callers do.
package rpc

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/tinylib/msgp/msgp"

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
	// MaxBodyBytes bounds the body of one internal call.
	MaxBodyBytes = 32 << 20
)

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

// ReadMessage decodes one whole body of at most MaxBodyBytes, which came with the
// header.
func ReadMessage(header http.Header, body io.Reader, message msgp.Unmarshaler) error {
	data, err := readBody(header, body)
	if err != nil {
		return err
	}
	rest, err := message.UnmarshalMsg(data)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "use the same version on both sides", "the body does not decode")
	}
	if len(rest) > 0 {
		return failure.New(failure.BadRequest, "send one message per call", "%d bytes follow the message", len(rest))
	}
	return nil
}

// setHeader sets what answers have in common. The time of day is left out: nobody
// reads it, and it travels with every answer.
func setHeader(header http.Header) {
	header.Set("Content-Type", ContentType)
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
