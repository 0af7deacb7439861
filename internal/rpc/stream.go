package rpc

import (
	"context"
	"io"
	"net/http"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// FrameWriter sends and numbers the frames of a streamed response.
type FrameWriter struct {
	writer   http.ResponseWriter
	flusher  http.Flusher
	sequence uint32
	started  bool
	buffer   []byte
}

// Send numbers the frame, writes it and flushes it to the peer.
func (f *FrameWriter) Send(frame *wire.GenerateFrame) error {
	frame.Sequence = f.sequence
	f.sequence++
	if !f.started {
		f.started = true
		f.writer.Header().Set("Content-Type", ContentType)
		f.writer.WriteHeader(http.StatusOK)
	}
	var err error
	if f.buffer, err = frame.MarshalMsg(f.buffer[:0]); err != nil {
		return err
	}
	if _, err = f.writer.Write(f.buffer); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the caller went away")
	}
	if f.flusher != nil {
		f.flusher.Flush()
	}
	return nil
}

// Fail ends the response with a failure. After the first frame it sends a failure frame;
// before, it returns err, which the handler must return as a plain failure.
func (f *FrameWriter) Fail(err error) error {
	if !f.started {
		return err
	}
	return f.Send(&wire.GenerateFrame{Kind: wire.FrameFailure, Failure: wire.NewFailure(err)})
}

// HandleStream registers the handler of a method whose response is a stream of frames. An
// error that the handler returns before the first frame is sent as a plain failure; a later
// one aborts the connection without an end frame.
func HandleStream[Request any, Pointer Decodable[Request]](router Router, method string, handler func(context.Context, *Request, *FrameWriter) error) {
	router.HandleFunc(PathPrefix+method, func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Request
		if err := readRequest(writer, httpRequest, Pointer(&request)); err != nil {
			recordDecodeError(method, httpRequest.RemoteAddr, httpRequest.Header, err)
			WriteFailure(writer, err)
			return
		}
		flusher, _ := writer.(http.Flusher)
		frames := &FrameWriter{writer: writer, flusher: flusher}
		err := handler(httpRequest.Context(), &request, frames)
		switch {
		case err == nil:
		case frames.started:
			panic(http.ErrAbortHandler)
		default:
			WriteFailure(writer, err)
		}
	})
}

// FrameReader reads the frames of a streamed response and checks that they are numbered
// without gaps.
type FrameReader struct {
	body     io.ReadCloser
	reader   *msgp.Reader
	sequence uint32
}

// OpenStream makes a call whose response is a stream of frames. With fresh set it dials a
// new connection, as Open does. The failures are those of Call.
func OpenStream(ctx context.Context, client *Client, address, method string, request msgp.Marshaler, fresh bool) (*FrameReader, error) {
	response, err := client.Open(ctx, address, method, request, fresh)
	if err != nil {
		return nil, err
	}
	return &FrameReader{body: response.Body, reader: msgp.NewReader(response.Body)}, nil
}

// Next returns the next frame. The error is an OutcomeUnknown failure if the stream breaks
// off or a frame is missing.
func (f *FrameReader) Next() (*wire.GenerateFrame, error) {
	frame := &wire.GenerateFrame{}
	if err := frame.DecodeMsg(f.reader); err != nil {
		return nil, failure.Wrap(err, failure.OutcomeUnknown, "resume at the offset reached", "the stream of frames was cut")
	}
	if frame.Sequence != f.sequence {
		return nil, failure.New(failure.OutcomeUnknown, "resume at the offset reached", "frame %d came where %d was due", frame.Sequence, f.sequence)
	}
	f.sequence++
	return frame, nil
}

// Close closes the response body.
func (f *FrameReader) Close() error { return f.body.Close() }
