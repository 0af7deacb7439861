package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// chatAnswer writes the answer to a chat request, streamed or whole.
type chatAnswer struct {
	writer  http.ResponseWriter
	id      string
	model   string
	created int64
	begun   bool
}

func newChatAnswer(writer http.ResponseWriter, requestID, model string, now time.Time) *chatAnswer {
	return &chatAnswer{writer: writer, id: "chatcmpl-" + requestID, model: model, created: now.Unix()}
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

// whole answers with one JSON body.
func (a *chatAnswer) whole(run *relay, request *http.Request) error {
	if err := run.run(request.Context()); err != nil {
		return err
	}
	writeJSON(a.writer, completion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   a.model,
		Choices: []completionChoice{{
			Message:      &completionMessage{Role: "assistant", Content: run.text.String()},
			FinishReason: &run.finishReason,
		}},
		Usage: newUsage(run.promptTokens, run.tokens),
	})
	return nil
}

// stream answers with server-sent events. Once the first has been sent, a
// failure becomes an event of its own, and no end marker follows it.
func (a *chatAnswer) stream(run *relay, request *http.Request, withUsage bool) error {
	err := run.run(request.Context())
	if err != nil && !a.begun {
		return err
	}
	if err != nil {
		a.event(failure.NewBody(err, a.id))
		return nil
	}
	a.event(a.chunkBody(&completionMessage{}, &run.finishReason))
	if withUsage {
		body := a.chunkBody(nil, nil)
		body.Choices = []completionChoice{}
		body.Usage = newUsage(run.promptTokens, run.tokens)
		a.event(body)
	}
	a.write([]byte("data: [DONE]\n\n"))
	return nil
}

// chunk sends new text to the caller.
func (a *chatAnswer) chunk(text string, _ int) error {
	message := &completionMessage{Content: text}
	if !a.begun {
		message.Role = "assistant"
	}
	return a.event(a.chunkBody(message, nil))
}

func (a *chatAnswer) chunkBody(message *completionMessage, finishReason *string) completion {
	return completion{
		ID:      a.id,
		Object:  "chat.completion.chunk",
		Created: a.created,
		Model:   a.model,
		Choices: []completionChoice{{Delta: message, FinishReason: finishReason}},
	}
}

func (a *chatAnswer) event(body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if !a.begun {
		a.begun = true
		a.writer.Header().Set("Content-Type", "text/event-stream")
		a.writer.Header().Set("Cache-Control", "no-cache")
		a.writer.WriteHeader(http.StatusOK)
	}
	return a.write(append(append([]byte("data: "), encoded...), '\n', '\n'))
}

func (a *chatAnswer) write(data []byte) error {
	if _, err := a.writer.Write(data); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the caller went away")
	}
	if flusher, ok := a.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(writer).Encode(body)
}

func readJSON(request *http.Request, writer http.ResponseWriter, limit int64, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	if err := decoder.Decode(target); err != nil {
		return failure.Wrap(err, failure.BadRequest, "send one JSON object of the documented shape", "the body does not parse").WithField("body")
	}
	if decoder.More() {
		return failure.New(failure.BadRequest, "send one JSON object", "something follows the body's object").WithField("body")
	}
	return nil
}
