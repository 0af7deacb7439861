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
	// The status is no three digits of 100 to 599, or an interim one that ends the exchange.
	BrokenStatusZero     Broken = "status 000"
	BrokenStatusLow      Broken = "status 050"
	BrokenStatusSigned   Broken = "status +20"
	BrokenStatusLong     Broken = "status 2000"
	BrokenStatusHigh     Broken = "status 600"
	BrokenStatusHighest  Broken = "status 999"
	BrokenStatusSwitches Broken = "status 101"
	// BrokenInterimBody is an interim answer that announces a body.
	BrokenInterimBody Broken = "interim answer with a body"
	// The name of a field is no token.
	BrokenBlankLength   Broken = "blank before the colon of the length"
	BrokenBlankChunks   Broken = "blank before the colon of the coding"
	BrokenBlankName     Broken = "blank in a name"
	BrokenControlName   Broken = "control byte in a name"
	BrokenTabName       Broken = "tab in a name"
	BrokenDeleteName    Broken = "delete byte in a name"
	BrokenSeparatorName Broken = "separator in a name"
	BrokenEmptyName     Broken = "empty name"
	BrokenWideName      Broken = "byte beyond ASCII in a name"
	BrokenInterimName   Broken = "blank in a name of an interim answer"
	BrokenNoColon       Broken = "no colon"
	BrokenTrailerName   Broken = "blank in a trailer's name"
	// BrokenValue is a control byte in a value, BrokenReason one in the reason phrase.
	BrokenValue  Broken = "control byte in a value"
	BrokenReason Broken = "control byte in the reason"
	BrokenReturn Broken = "carriage return in a value"
	BrokenFolded Broken = "folded line"
	// The length of the body is ambiguous.
	BrokenTwoLengths      Broken = "two lengths"
	BrokenSignedLength    Broken = "signed length"
	BrokenListedLength    Broken = "list of lengths"
	BrokenLengthAndChunks Broken = "length and chunks"
	BrokenChunksOld       Broken = "chunks in HTTP/1.0"
	BrokenCoding          Broken = "unknown coding"
	BrokenVersion         Broken = "version 2.0"
	// The connection ends before the answer does.
	BrokenInHead  Broken = "end within the head"
	BrokenInChunk Broken = "end within a chunk"
	// The chunks are malformed.
	BrokenSignedChunk Broken = "signed size of a chunk"
	BrokenLongChunk   Broken = "chunk longer than its size"
)

// BrokenForms lists all forms.
var BrokenForms = []Broken{BrokenReset, BrokenStatusZero, BrokenStatusLow, BrokenStatusSigned, BrokenStatusLong, BrokenStatusHigh, BrokenStatusHighest, BrokenStatusSwitches, BrokenInterimBody, BrokenBlankLength, BrokenBlankChunks, BrokenBlankName, BrokenControlName, BrokenTabName, BrokenDeleteName, BrokenSeparatorName, BrokenEmptyName, BrokenWideName, BrokenInterimName, BrokenNoColon, BrokenTrailerName, BrokenValue, BrokenReason, BrokenReturn, BrokenFolded, BrokenTwoLengths, BrokenSignedLength, BrokenListedLength, BrokenLengthAndChunks, BrokenChunksOld, BrokenCoding, BrokenVersion, BrokenInHead, BrokenInChunk, BrokenSignedChunk, BrokenLongChunk}

// BrokenHeader is a field of every broken answer, by which a test recognizes one that was passed on. Its value
// is BrokenHeadMark unless HasValidHead reports true.
const (
	BrokenHeader   = "X-Broken"
	BrokenHeadMark = "head"
	brokenEndMark  = "end"
)

// uploadBufferBytes is the size of the receive buffer of a connection that is reset during the upload.
const uploadBufferBytes = 4 << 10

// DuringUpload reports whether the worker sends the form before it has read the request's body.
func (b Broken) DuringUpload() bool { return b == BrokenReset }

// HasValidHead reports whether only the end of the form shows that it is broken.
func (b Broken) HasValidHead() bool {
	switch b {
	case BrokenReset, BrokenTrailerName, BrokenInChunk, BrokenSignedChunk, BrokenLongChunk:
		return true
	}
	return false
}

// brokenText returns the answer of the form to a request with the given id. A form with a valid head has the
// first event of the worker's answer. The body of any other is no text of the worker's, so a reader that
// accepts any of it has an answer that is not the worker's.
func (w *HostedWorker) brokenText(form Broken, id string) string {
	body := "id: 1\ndata: not the worker's\n\n"
	if form.HasValidHead() {
		body = hostedEventText(w.version(), id, 1)
	}
	_, fields, _ := strings.Cut(w.statusLine(http.StatusOK, id), "\r\n")
	return form.Text(fields, body)
}

// Text returns an answer of the form with the given lines of fields and body.
func (b Broken) Text(fields, body string) string {
	mark := BrokenHeadMark
	if b.HasValidHead() {
		mark = brokenEndMark
	}
	head := func(start string) string { return start + "\r\n" + BrokenHeader + ": " + mark + "\r\n" + fields }
	ok := head("HTTP/1.1 200 OK")
	closing := "Connection: close\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rest := length + "\r\n" + body
	chunked := "Transfer-Encoding: chunked\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	// The body looks like an answer itself.
	nested := closing + "\r\n" + ok + rest
	text, found := map[Broken]string{
		BrokenReset:           ok + closing + "\r\n" + body,
		BrokenStatusZero:      head("HTTP/1.1 000 ") + nested,
		BrokenStatusLow:       head("HTTP/1.1 050 Odd") + nested,
		BrokenStatusSigned:    head("HTTP/1.1 +20 Odd") + nested,
		BrokenStatusLong:      head("HTTP/1.1 2000 OK") + rest,
		BrokenStatusHigh:      head("HTTP/1.1 600 Odd") + rest,
		BrokenStatusHighest:   head("HTTP/1.1 999 Odd") + rest,
		BrokenStatusSwitches:  head("HTTP/1.1 101 Switching Protocols") + "Upgrade: odd\r\n" + nested,
		BrokenInterimBody:     head("HTTP/1.1 103 Early Hints") + length + nested,
		BrokenBlankLength:     ok + "Content-Length : 8\r\n" + closing + "\r\n" + body,
		BrokenBlankChunks:     ok + "Transfer-Encoding : chunked\r\n" + closing + "\r\n" + chunks,
		BrokenBlankName:       ok + "X Odd: 1\r\n" + rest,
		BrokenControlName:     ok + "X\x01Odd: 1\r\n" + rest,
		BrokenTabName:         ok + "X\tOdd: 1\r\n" + rest,
		BrokenDeleteName:      ok + "X\x7fOdd: 1\r\n" + rest,
		BrokenSeparatorName:   ok + "X(Odd): 1\r\n" + rest,
		BrokenEmptyName:       ok + ": 1\r\n" + rest,
		BrokenWideName:        ok + "X\xe9Odd: 1\r\n" + rest,
		BrokenInterimName:     head("HTTP/1.1 103 Early Hints") + "X Odd: 1\r\n\r\n" + ok + rest,
		BrokenNoColon:         ok + "X-Odd\r\n" + rest,
		BrokenTrailerName:     ok + chunked + "\r\n" + strings.TrimSuffix(chunks, "\r\n") + "X Odd: 1\r\n\r\n",
		BrokenValue:           ok + "X-Odd: a\x00b\r\n" + rest,
		BrokenReason:          head("HTTP/1.1 200 O\x01K") + rest,
		BrokenReturn:          ok + "X-Odd: a\rContent-Length: 1\r\n" + rest,
		BrokenFolded:          ok + "X-Odd: 1\r\n Content-Length: 8\r\n" + closing + "\r\n" + body,
		BrokenTwoLengths:      ok + "Content-Length: 8\r\n" + rest,
		BrokenSignedLength:    ok + "Content-Length: +8\r\n\r\n" + body,
		BrokenListedLength:    ok + "Content-Length: 8, 8\r\n\r\n" + body,
		BrokenLengthAndChunks: ok + "Content-Length: 8\r\n" + chunked + "\r\n" + chunks,
		BrokenChunksOld:       head("HTTP/1.0 200 OK") + chunked + "\r\n" + chunks,
		BrokenCoding:          ok + "Transfer-Encoding: odd\r\n" + closing + "\r\n" + body,
		BrokenVersion:         head("HTTP/2.0 200 OK") + rest,
		BrokenInHead:          ok + "Content-Le",
		BrokenInChunk:         ok + chunked + "\r\n" + chunks[:len(chunks)/2],
		BrokenSignedChunk:     ok + chunked + "\r\n+" + chunks,
		BrokenLongChunk:       ok + chunked + "\r\n1\r\n" + body + "\r\n0\r\n\r\n",
	}[b]
	if !found {
		panic("unknown broken answer " + string(b))
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
	for _, octet := range []byte(w.brokenText(fault.Broken, id)) {
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
