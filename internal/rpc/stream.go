package rpc

import (
	"context"
	"io"
	"net/http"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// FrameWriter sends the frames of a streamed answer. Frames are numbered by it.
type FrameWriter struct {
	writer   http.ResponseWriter
	flusher  http.Flusher
	sequence uint32
	begun    bool
	buffer   []byte
}

// Send writes one frame at once.
func (f *FrameWriter) Send(frame *wire.GenerateFrame) error {
	frame.Sequence = f.sequence
	f.sequence++
	if !f.begun {
		f.begun = true
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

// Fail ends the answer with a failure: as a frame once frames have been sent,
// as a plain failure before.
func (f *FrameWriter) Fail(err error) error {
	if !f.begun {
		return err
	}
	return f.Send(&wire.GenerateFrame{Kind: wire.FrameFailure, Failure: wire.NewFailure(err)})
}

// HandleStream registers a call handler whose answer is a stream of frames. An
// error returned before the first frame is answered as a plain failure; later
// ones break the stream off without an end.
func HandleStream[Request any, Pointer Decodable[Request]](router Router, method string, handler func(context.Context, *Request, *FrameWriter) error) {
	router.HandleFunc(PathPrefix+method, func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Request
		if err := ReadMessage(httpRequest.Header, httpRequest.Body, Pointer(&request)); err != nil {
			noteUnread(method, httpRequest.RemoteAddr, httpRequest.Header, err)
			WriteFailure(writer, err)
			return
		}
		flusher, _ := writer.(http.Flusher)
		frames := &FrameWriter{writer: writer, flusher: flusher}
		err := handler(httpRequest.Context(), &request, frames)
		switch {
		case err == nil:
		case frames.begun:
			panic(http.ErrAbortHandler)
		default:
			WriteFailure(writer, err)
		}
	})
}

// FrameReader reads the frames of a streamed answer. It checks that they are
// numbered without gaps.
type FrameReader struct {
	body     io.ReadCloser
	reader   *msgp.Reader
	sequence uint32
}

// OpenStream makes a call whose answer is a stream of frames. The failures are
// those of Call.
func OpenStream(ctx context.Context, client *Client, address, method string, request msgp.Marshaler, fresh bool) (*FrameReader, error) {
	response, err := client.Open(ctx, address, method, request, fresh)
	if err != nil {
		return nil, err
	}
	return &FrameReader{body: response.Body, reader: msgp.NewReader(response.Body)}, nil
}

// Next returns the next frame. A stream that breaks off before its end frame is
// an OutcomeUnknown failure.
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

// Close ends the reading.
func (f *FrameReader) Close() error { return f.body.Close() }
