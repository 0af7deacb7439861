// Package loadgen generates load through the gateways' public API, as callers do. It compares the
// complete text of every answer with the text that the emulated engines must have generated.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
)

// Client sends the requests of one caller of a tenant.
type Client struct {
	Address string
	Key     string
	client  *http.Client
}

const maxConnections = 1024

// NewClient returns a client of the gateway at address (IP:port) that uses the given API key.
func NewClient(address, key string) *Client {
	return &Client{Address: address, Key: key, client: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
	}}}
}

// Request is an online request. A Deadline of zero sends no deadline.
type Request struct {
	Model      string
	Text       string
	MaxTokens  int
	Stream     bool
	AtMostOnce bool
	Deadline   time.Duration
}

// Expected returns the text that the emulated engines must generate for the request.
func (r *Request) Expected() string {
	return ExpectedText(r.Model, r.Text, r.MaxTokens)
}

// ExpectedText returns the text that the emulated engines must generate for a single user message.
func ExpectedText(model, text string, maxTokens int) string {
	name, adapter, _ := strings.Cut(model, ":")
	return emulator.NewAnswer(name, adapter, "user: "+text+"\n").Text(maxTokens)
}

// Reply is the answer to an online request and its latencies, measured from the sending.
type Reply struct {
	Text         string
	FinishReason string
	FirstToken   time.Duration
	Total        time.Duration
	// Gaps are the times between successive tokens of a streamed answer.
	Gaps []time.Duration
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newChatBody(request *Request) chatBody {
	return chatBody{
		Model:     request.Model,
		Messages:  []chatMessage{{Role: "user", Content: request.Text}},
		MaxTokens: request.MaxTokens,
		Stream:    request.Stream,
	}
}

// chatChunk is a chunk of a streamed answer, a complete answer or an error.
type chatChunk struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
	Error *failure.Detail `json:"error"`
}

// Chat sends an online request and reads the complete answer. If the connection breaks or the
// answer ends early, the error is a failure.OutcomeUnknown.
func (c *Client) Chat(ctx context.Context, request *Request) (*Reply, error) {
	encoded, err := json.Marshal(newChatBody(request))
	if err != nil {
		return nil, err
	}
	started := time.Now()
	headers := map[string]string{"Content-Type": "application/json"}
	if request.AtMostOnce {
		headers["Sedgemast-At-Most-Once"] = "true"
	}
	if request.Deadline > 0 {
		headers["Sedgemast-Deadline-Ms"] = strconv.FormatInt(request.Deadline.Milliseconds(), 10)
	}
	response, err := c.do(ctx, http.MethodPost, "/v1/chat/completions", headers, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if request.Stream {
		return readStream(response.Body, started)
	}
	var answer chatChunk
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, truncatedError(err)
	}
	reply := &Reply{Text: answer.Choices[0].Message.Content, Total: time.Since(started)}
	reply.FirstToken = reply.Total
	return reply, nil
}

func readStream(body io.Reader, started time.Time) (*Reply, error) {
	reply := &Reply{}
	var text strings.Builder
	last := time.Time{}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			reply.Text = text.String()
			reply.Total = time.Since(started)
			return reply, nil
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return nil, truncatedError(err)
		}
		if chunk.Error != nil {
			return nil, chunk.Error.Failure()
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			reply.FirstToken = now.Sub(started)
		} else {
			reply.Gaps = append(reply.Gaps, now.Sub(last))
		}
		last = now
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return nil, truncatedError(scanner.Err())
}

func truncatedError(err error) error {
	return failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the answer was cut")
}

// Batch is a batch job as the API returns it.
type Batch struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Upload uploads a file while write produces it, and returns the file's id.
func (c *Client) Upload(ctx context.Context, write func(io.Writer) error) (string, error) {
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() {
		err := writeForm(form, write)
		writer.CloseWithError(err)
	}()
	defer reader.Close()
	var file struct {
		ID string `json:"id"`
	}
	headers := map[string]string{"Content-Type": form.FormDataContentType()}
	err := c.call(ctx, http.MethodPost, "/v1/files", headers, reader, &file)
	return file.ID, err
}

func writeForm(form *multipart.Writer, write func(io.Writer) error) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(part)
	if err := write(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return form.Close()
}

// CreateBatch creates a batch job from an uploaded file.
func (c *Client) CreateBatch(ctx context.Context, fileID, idempotencyKey string) (*Batch, error) {
	body, err := json.Marshal(map[string]string{
		"input_file_id":     fileID,
		"endpoint":          "/v1/chat/completions",
		"completion_window": "24h",
	})
	if err != nil {
		return nil, err
	}
	headers := map[string]string{"Content-Type": "application/json"}
	if idempotencyKey != "" {
		headers["Idempotency-Key"] = idempotencyKey
	}
	batch := &Batch{}
	return batch, c.call(ctx, http.MethodPost, "/v1/batches", headers, bytes.NewReader(body), batch)
}

// Batch returns the current state of a job.
func (c *Client) Batch(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.call(ctx, http.MethodGet, "/v1/batches/"+id, nil, nil, batch)
}

// CancelBatch cancels a job and returns its state.
func (c *Client) CancelBatch(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.call(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", nil, nil, batch)
}

// ReadFile downloads a file and passes each line to accept.
func (c *Client) ReadFile(ctx context.Context, fileID string, accept func(line []byte) error) error {
	response, err := c.do(ctx, http.MethodGet, "/v1/files/"+fileID+"/content", nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		if err := accept(scanner.Bytes()); err != nil {
			return err
		}
	}
	return scanner.Err()
}

func (c *Client) call(ctx context.Context, method, path string, headers map[string]string, body io.Reader, reply any) error {
	response, err := c.do(ctx, method, path, headers, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(reply)
}

func (c *Client) do(ctx context.Context, method, path string, headers map[string]string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.Key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.OutcomeUnknown, "send it again if it may be repeated", "the gateway does not answer")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	var errorBody failure.Body
	if err := json.NewDecoder(response.Body).Decode(&errorBody); err != nil {
		return nil, failure.New(failure.Internal, "look at the gateway's log", "the gateway answered with status %d", response.StatusCode)
	}
	return nil, errorBody.Error.Failure()
}
