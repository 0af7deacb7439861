package rpc

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
)

const (
	encodingHeader = "Content-Encoding"
	encodingZstd   = "zstd"
	// minCompressBytes is the size from which a body is compressed: below it, the
	// compression time costs more than the bytes it saves.
	minCompressBytes = 512
	// compressWindowBytes bounds the memory of an encoder.
	compressWindowBytes = 128 << 10
)

// encoder and decoder are created on first use, because most processes of the embedded
// fleet never need them.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil,
			zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(compressWindowBytes),
			zstd.WithLowerEncoderMem(true),
		)
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderMaxMemory(MaxBodyBytes),
			zstd.WithDecoderLowmem(true),
		)
	})
)

// encodeBody encodes a message and compresses it if that makes it shorter. It returns the
// body and its Content-Encoding, which is empty for an uncompressed body.
func encodeBody(message msgp.Marshaler) (body []byte, encoding string, err error) {
	if encoded, ok := message.(*Encoded); ok {
		return encoded.body, encoded.encoding, nil
	}
	body, err = message.MarshalMsg(nil)
	if err != nil || len(body) < minCompressBytes {
		return body, "", err
	}
	e, err := encoder()
	if err != nil {
		return nil, "", err
	}
	if compressed := e.EncodeAll(body, nil); len(compressed) < len(body) {
		return compressed, encodingZstd, nil
	}
	return body, "", nil
}

// readBody reads a whole body of at most MaxBodyBytes and decompresses it.
func readBody(ctx context.Context, header http.Header, body io.Reader) ([]byte, error) {
	data, err := intake.ReadAll(ctx, body, MaxBodyBytes+1)
	if failure.Is(err, failure.NotRun) {
		return nil, err
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "send the whole body", "the body could not be read")
	}
	if len(data) > MaxBodyBytes {
		return nil, failure.New(failure.BadRequest, "send smaller messages", "the body is longer than %d bytes", MaxBodyBytes)
	}
	switch encoding := header.Get(encodingHeader); encoding {
	case "":
		return data, nil
	case encodingZstd:
		return decompress(ctx, data)
	default:
		return nil, failure.New(failure.BadRequest, "use zstd or none", "the body has the unknown encoding %q", encoding)
	}
}

// unknownSizeFactor is the assumed size of a decompressed body, relative to the compressed one, where the
// sender does not tell it.
const unknownSizeFactor = 16

// decompress charges the context's request for the decompressed body before it decompresses it.
func decompress(ctx context.Context, data []byte) ([]byte, error) {
	d, err := decoder()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "no decoder could be made")
	}
	var frame zstd.Header
	size := int64(len(data)) * unknownSizeFactor
	if frame.Decode(data) == nil && frame.HasFCS {
		size = int64(min(frame.FrameContentSize, MaxBodyBytes))
	}
	if err := intake.Hold(ctx, size); err != nil {
		return nil, err
	}
	body, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "send the body whole and at most 32 MB long", "the body does not decompress")
	}
	if excess := int64(cap(body)) - size; excess > 0 {
		return body, intake.Hold(ctx, excess)
	}
	return body, nil
}
