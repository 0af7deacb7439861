package fleetsim

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/httpanswer"
)

const (
	// brokenBody is the body of a broken answer: some events of a whole one.
	brokenBody = "id: 1\ndata: x\n\n"
	// brokenBufferBytes is the buffer with which it is read.
	brokenBufferBytes = 4 << 10
)

// receiveBroken reads an answer of the form, as the edge does.
func (c *answerCall) receiveBroken(form emulator.Broken) {
	w := c.edge.world
	w.after(answerLatency, func() {
		c.edge.runWhenAwake(c.incarnation, func() {
			if status, err := c.readBroken(form); err == nil {
				w.ledger.recordViolation("%s passes on a broken answer, status %d (%s)", c.edge.name, status, form)
			}
			c.retry(c.repeatable)
		})
	})
}

// readBroken returns the status of an answer of the form, or the error that shows it to be broken.
func (c *answerCall) readBroken(form emulator.Broken) (status int, err error) {
	mutation := c.edge.world.mutation
	text, request := strings.NewReader(form.Text("", brokenBody)), &http.Request{Method: http.MethodPost}
	var response *http.Response
	if mutation == MutationAnyHead {
		response, err = http.ReadResponse(bufio.NewReader(text), request)
	} else {
		response, err = httpanswer.NewReader(text, brokenBufferBytes).ReadHead(request)
	}
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if mutation != MutationAnyHead {
		if err := httpanswer.CheckTrailer(response); err != nil {
			return 0, err
		}
	}
	ending := httpanswer.Ending{
		Marked:       httpanswer.IsMarked(response),
		RequestTaken: !form.DuringUpload() || mutation == MutationTrustEarlyEnd,
		SameStart:    true,
	}
	if !ending.IsWhole() {
		return 0, io.ErrUnexpectedEOF
	}
	return response.StatusCode, nil
}
