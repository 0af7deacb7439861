package httpanswer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// maxKeptHead is the size in bytes of the longest buffer for heads that a Reader keeps between answers.
const maxKeptHead = 2 << 10

// Reader reads the answers that arrive one after another on a connection.
type Reader struct {
	buffered *bufio.Reader
	tap      headTap
}

// headTap copies what is read of source while a head is read, since net/http drops what it ignores.
type headTap struct {
	source io.Reader
	inHead bool
	raw    []byte
}

// Read implements io.Reader.
func (t *headTap) Read(buffer []byte) (int, error) {
	count, err := t.source.Read(buffer)
	if t.inHead {
		t.raw = append(t.raw, buffer[:count]...)
	}
	return count, err
}

// NewReader returns a reader of the answers in source with a buffer of the given size in bytes. The source
// bounds the length of heads.
func NewReader(source io.Reader, size int) *Reader {
	r := &Reader{tap: headTap{source: source}}
	r.buffered = bufio.NewReaderSize(&r.tap, size)
	return r
}

// Buffered returns the number of bytes that have arrived and were not read.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// ReadHead reads the head of the final answer to a request, and skips interim ones. The body of the answer
// before must have been read. It fails with an InvalidError if a head is not valid.
func (r *Reader) ReadHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := r.readOneHead(request)
		if err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) {
			return response, nil
		}
	}
}

func (r *Reader) readOneHead(request *http.Request) (*http.Response, error) {
	// Peek can't fail for what is buffered.
	arrived, _ := r.buffered.Peek(r.buffered.Buffered())
	r.tap.raw, r.tap.inHead = append(r.tap.raw[:0], arrived...), true
	response, err := http.ReadResponse(r.buffered, request)
	r.tap.inHead = false
	if err == nil {
		err = CheckHead(response)
	}
	if err == nil {
		err = checkLines(r.tap.raw, response)
	}
	if cap(r.tap.raw) > maxKeptHead {
		r.tap.raw = nil
	}
	return response, err
}

// checkLines returns an InvalidError if the lines of a head, which raw starts with, don't mean the same to
// each reader: they are folded, or state the length of the body in two ways.
func checkLines(raw []byte, response *http.Response) error {
	var hasLength, hasCoding bool
	_, lines, _ := bytes.Cut(raw, []byte("\n"))
	for {
		line, rest, _ := bytes.Cut(lines, []byte("\n"))
		lines = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return invalid("a folded line")
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasCoding = hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	switch {
	case hasLength && hasCoding:
		return invalid("both a length and a transfer coding")
	case hasCoding && !response.ProtoAtLeast(1, 1):
		return invalid("a transfer coding in HTTP/1.0")
	case (hasLength || hasCoding) && isInterim(response.StatusCode):
		return invalid("an interim answer with a body")
	}
	return nil
}
