package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Endless names what a faulty worker sends without end, until the caller closes the connection.
type Endless string

// Forms of bytes without end.
const (
	// EndlessHead has no line end in place of a head, EndlessHeaderLines always one more header.
	EndlessHead        Endless = "head"
	EndlessHeaderLines Endless = "header lines"
	// EndlessInterim are interim (1xx) answers.
	EndlessInterim Endless = "interim answers"
	// EndlessEvent is one event, in chunks, with a told length or with neither.
	EndlessEvent          Endless = "event"
	EndlessEventLength    Endless = "event, told length"
	EndlessEventUndefined Endless = "event, neither"
	// EndlessComments and EndlessRepeats are events that bring a stream no further.
	EndlessComments Endless = "comments"
	EndlessRepeats  Endless = "repeated events"
	// EndlessEvents are events in order.
	EndlessEvents Endless = "events"
	// EndlessFailure is the body of a 500, EndlessRejection that of a marked 503.
	EndlessFailure   Endless = "failure"
	EndlessRejection Endless = "rejection"
	// EndlessStray is an answer to another request.
	EndlessStray Endless = "another request's answer"
	// EndlessChunkLine is the line before a chunk, EndlessTrailers what follows the last one.
	EndlessChunkLine Endless = "chunk line"
	EndlessTrailers  Endless = "trailers"
)

// EndlessForms lists all forms.
var EndlessForms = []Endless{EndlessHead, EndlessHeaderLines, EndlessInterim, EndlessEvent, EndlessEventLength, EndlessEventUndefined, EndlessComments, EndlessRepeats, EndlessEvents, EndlessFailure, EndlessRejection, EndlessStray, EndlessChunkLine, EndlessTrailers}

const (
	// endlessPieceBytes is the size of the pieces that a worker writes.
	endlessPieceBytes = 32 << 10
	// trickleInterval is the time between two bytes of a worker that trickles.
	trickleInterval = 20 * time.Millisecond
	// toldLength is a length that no answer reaches.
	toldLength = 1 << 40
)

// statusLine returns the start of a worker's answer to a request with the given id.
func (w *HostedWorker) statusLine(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nServer-Seal: %s.%s\r\nContent-Type: text/event-stream\r\n", status, http.StatusText(status), w.HeaderNames.RequestID, id, w.ID, id)
}

// endlessParts returns what the form begins with, and a function that returns the piece with the number.
func (w *HostedWorker) endlessParts(form Endless, id string) (prefix string, piece func(number int) string) {
	fill := strings.Repeat("x", endlessPieceBytes)
	same := func(text string) func(int) string {
		text = strings.Repeat(text, max(1, endlessPieceBytes/len(text)))
		return func(int) string { return text }
	}
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	chunked := func(status int) string { return w.statusLine(status, id) + "Transfer-Encoding: chunked\r\n\r\n" }
	told := fmt.Sprintf("Content-Length: %d\r\n\r\n", toldLength)
	first := hostedEventText(w.version(), id, 1)
	switch form {
	case EndlessHead:
		return "HTTP/1.1 200 ", same(fill)
	case EndlessHeaderLines:
		return w.statusLine(http.StatusOK, id), same("X-Filler: xxxxxxxxxxxxxxxx\r\n")
	case EndlessInterim:
		return "", same("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	case EndlessEvent:
		return chunked(http.StatusOK) + chunk(first+"data: "), same(chunk(fill))
	case EndlessEventLength:
		return w.statusLine(http.StatusOK, id) + told + first + "data: ", same(fill)
	case EndlessEventUndefined:
		return w.statusLine(http.StatusOK, id) + "Connection: close\r\n\r\n" + first + "data: ", same(fill)
	case EndlessComments:
		return chunked(http.StatusOK) + chunk(first), same(chunk(": note\n\n"))
	case EndlessRepeats:
		return chunked(http.StatusOK), same(chunk(first))
	case EndlessEvents:
		return chunked(http.StatusOK), func(number int) string { return chunk(hostedEventText(w.version(), id, number)) }
	case EndlessFailure:
		return chunked(http.StatusInternalServerError), same(chunk(fill))
	case EndlessRejection:
		return w.statusLine(http.StatusServiceUnavailable, id) + w.HeaderNames.NotRun + ": 1\r\n" + told, same(fill)
	case EndlessStray:
		return w.statusLine(http.StatusOK, "another") + told, same(fill)
	case EndlessChunkLine:
		return chunked(http.StatusOK) + chunk(first) + "5;", same(fill)
	case EndlessTrailers:
		return chunked(http.StatusOK) + chunk(first) + "0\r\n", same("X-Filler: xxxxxxxxxxxxxxxx\r\n")
	}
	return "", same(fill)
}

// sendEndless sends the form until the caller closes the connection, or maxEndlessBytes. It records how
// many bytes the caller took, those in the connection's buffers included.
func (w *HostedWorker) sendEndless(writer http.ResponseWriter, id string, fault *HostedFault) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	prefix, piece := w.endlessParts(fault.Endless, id)
	sent, err := io.WriteString(connection, prefix)
	for number := 1; err == nil && sent < maxEndlessBytes; number++ {
		for text := piece(number); text != "" && err == nil; {
			part := text
			if fault.Trickle {
				part = text[:1]
				time.Sleep(trickleInterval)
			}
			var count int
			count, err = io.WriteString(connection, part)
			sent, text = sent+count, text[count:]
		}
	}
	w.mutex.Lock()
	w.endlessAnswers++
	w.maxEndless = max(w.maxEndless, sent)
	w.mutex.Unlock()
}

// maxEndlessBytes is where a worker gives up, so that a reader without a bound takes no whole machine.
const maxEndlessBytes = 64 << 20

// Endless returns the number of answers without end that callers have closed since the last call, and
// the most bytes that one of them had.
func (w *HostedWorker) Endless() (answers, maxBytes int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	answers, maxBytes = w.endlessAnswers, w.maxEndless
	w.endlessAnswers, w.maxEndless = 0, 0
	return answers, maxBytes
}
