package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/intake"
)

// chatResponse writes the response to a chat request, as one body or as a stream of events.
type chatResponse struct {
	writer      http.ResponseWriter
	id          string
	model       string
	created     int64
	headersSent bool
}

func newChatResponse(writer http.ResponseWriter, requestID, model string, now time.Time) *chatResponse {
	return &chatResponse{writer: writer, id: "chatcmpl-" + requestID, model: model, created: now.Unix()}
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(promptTokens, completionTokens int) *usage {
	return &usage{PromptTokens: promptTokens, CompletionTokens: completionTokens, TotalTokens: promptTokens + completionTokens}
}

// respondJSON runs the request and writes the response as one JSON body.
func (c *chatResponse) respondJSON(run *relay, request *http.Request) error {
	if err := run.run(request.Context()); err != nil {
		return err
	}
	writeJSON(c.writer, completion{
		ID:      c.id,
		Object:  "chat.completion",
		Created: c.created,
		Model:   c.model,
		Choices: []completionChoice{{
			Message:      &completionMessage{Role: "assistant", Content: run.text.String()},
			FinishReason: &run.finishReason,
		}},
		Usage: newUsage(run.promptTokens, run.tokens),
	})
	return nil
}

// respondStream runs the request and writes the response as server-sent events. After the first
// event has been sent, a failure is sent as an event, and no end marker follows it.
func (c *chatResponse) respondStream(run *relay, request *http.Request, withUsage bool) error {
	err := run.run(request.Context())
	if err != nil && !c.headersSent {
		return err
	}
	if err != nil {
		c.sendEvent(failure.NewBody(err, c.id))
		return nil
	}
	c.sendEvent(c.newChunk(&completionMessage{}, &run.finishReason))
	if withUsage {
		body := c.newChunk(nil, nil)
		body.Choices = []completionChoice{}
		body.Usage = newUsage(run.promptTokens, run.tokens)
		c.sendEvent(body)
	}
	c.write([]byte("data: [DONE]\n\n"))
	return nil
}

// sendChunk sends new text to the caller as one event.
func (c *chatResponse) sendChunk(text string, _ int) error {
	message := &completionMessage{Content: text}
	if !c.headersSent {
		message.Role = "assistant"
	}
	return c.sendEvent(c.newChunk(message, nil))
}

func (c *chatResponse) newChunk(message *completionMessage, finishReason *string) completion {
	return completion{
		ID:      c.id,
		Object:  "chat.completion.chunk",
		Created: c.created,
		Model:   c.model,
		Choices: []completionChoice{{Delta: message, FinishReason: finishReason}},
	}
}

func (c *chatResponse) sendEvent(body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if !c.headersSent {
		c.headersSent = true
		c.writer.Header().Set("Content-Type", "text/event-stream")
		c.writer.Header().Set("Cache-Control", "no-cache")
		c.writer.WriteHeader(http.StatusOK)
	}
	return c.write(append(append([]byte("data: "), encoded...), '\n', '\n'))
}

func (c *chatResponse) write(data []byte) error {
	if _, err := c.writer.Write(data); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the caller went away")
	}
	if flusher, ok := c.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}

func readJSON(request *http.Request, writer http.ResponseWriter, limit int64, body any) error {
	controller := http.NewResponseController(writer)
	// Only the writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	document, err := httpapi.ReadDocument(request, limit)
	if err != nil {
		return err
	}
	_ = controller.SetReadDeadline(time.Time{})
	defer intake.Work(request.Context())()
	decoder := json.NewDecoder(bytes.NewReader(document))
	if err := decoder.Decode(body); err != nil {
		return failure.Wrap(err, failure.BadRequest, "send one JSON object of the documented shape", "the body does not parse").WithField("body")
	}
	if decoder.More() {
		return failure.New(failure.BadRequest, "send one JSON object", "something follows the body's object").WithField("body")
	}
	return nil
}

// bodyTimeout bounds the time in which a caller sends the body of a request.
const bodyTimeout = 30 * time.Second
