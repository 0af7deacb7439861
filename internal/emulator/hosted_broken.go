package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Broken names an answer that breaks the rules of HTTP/1.1. The worker sends it byte by byte.
type Broken string

// Forms of broken answers.
const (
	// BrokenReset is a part of an answer without a length, sent before the request's body is read. Then the
	// connection is closed with the rest of the body unread, which resets it.
	BrokenReset Broken = "reset during the upload"
	// The connection ends before the answer does.
	BrokenInHead  Broken = "end within the head"
	BrokenInChunk Broken = "end within a chunk"
)

// BrokenForms lists all forms.
var BrokenForms = []Broken{BrokenReset, BrokenInHead, BrokenInChunk}

// BrokenHeader is a field of every broken head, by which a test recognizes one that was passed on.
const BrokenHeader = "X-Broken"

// uploadBufferBytes is the size of the receive buffer of a connection that is reset during the upload.
const uploadBufferBytes = 4 << 10

// DuringUpload reports whether the worker sends the form before it has read the request's body.
func (b Broken) DuringUpload() bool { return b == BrokenReset }

// HasValidHead reports whether only the end of the form shows that it is broken.
func (b Broken) HasValidHead() bool { return b.DuringUpload() }

// BrokenText returns the answer of the form to a request with the given id. A form with a valid head has the
// first event of the worker's answer. The body of any other is no text of the worker's, so a reader that
// accepts any of it has an answer that is not the worker's.
func (w *HostedWorker) BrokenText(form Broken, id string) string {
	wrong := "id: 1\ndata: not the worker's\n\n"
	if form.HasValidHead() {
		wrong = hostedEventText(w.version(), id, 1)
	}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wrong), wrong)
	head := func(start string) string {
		_, fields, _ := strings.Cut(w.statusLine(http.StatusOK, id), "\r\n")
		return start + "\r\n" + BrokenHeader + ": 1\r\n" + fields
	}
	ok := head("HTTP/1.1 200 OK")
	closing := "Connection: close\r\n"
	text, found := map[Broken]string{
		BrokenReset:   ok + closing + "\r\n" + wrong,
		BrokenInHead:  ok + "Content-Le",
		BrokenInChunk: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks[:len(chunks)/2],
	}[form]
	if !found {
		panic("unknown broken answer " + string(form))
	}
	return text
}

// sendBroken sends the fault's broken answer byte by byte and closes the connection.
func (w *HostedWorker) sendBroken(writer http.ResponseWriter, id string, fault *HostedFault) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	if socket, isTCP := connection.(*net.TCPConn); isTCP && fault.Broken.DuringUpload() {
		// A small buffer keeps the caller writing until the reset.
		_ = socket.SetReadBuffer(uploadBufferBytes)
	}
	for _, octet := range []byte(w.BrokenText(fault.Broken, id)) {
		// A failed write means that the caller has closed the connection.
		if _, err := connection.Write([]byte{octet}); err != nil {
			break
		}
	}
	time.Sleep(fault.RunFor)
	w.mutex.Lock()
	w.brokenAnswers++
	w.mutex.Unlock()
}

// BrokenAnswers returns the number of broken answers that the worker has sent.
func (w *HostedWorker) BrokenAnswers() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.brokenAnswers
}

// readBody reads the rest of a request's body.
func (r *HostedRequest) readBody(body io.Reader) error {
	text, err := io.ReadAll(body)
	r.Body = string(text)
	return err
}
