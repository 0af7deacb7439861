package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// decodable is a pointer to T that decodes MessagePack.
type decodable[T any] interface {
	*T
	msgp.Unmarshaler
}

// callControl makes an idempotent call to control, bounded by commandTimeout.
func callControl[Response any, Pointer decodable[Response]](ctx context.Context, g *Gateway, group int, method string, request msgp.Marshaler) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	response, err := controlclient.Call[Response, Pointer](ctx, g.control, group, method, request)
	if failure.Is(err, failure.NotRun) || failure.Is(err, failure.OutcomeUnknown) {
		typed := failure.From(err)
		return nil, failure.Wrap(err, typed.Kind, "send it again with the same Idempotency-Key or change id", "control does not answer").WithRetryAfter(leaseRetryAfter)
	}
	return response, err
}

// callByID calls the job group that is encoded in an id.
func callByID[Response any, Pointer decodable[Response]](ctx context.Context, g *Gateway, id, method string, request msgp.Marshaler) (*Response, error) {
	group, err := jobstate.GroupOf(id)
	if err != nil {
		return nil, err
	}
	if group > g.session.JobGroupCount() {
		return nil, failure.New(failure.NotFound, "use an id as it was answered", "there is no object %q", id)
	}
	return callControl[Response, Pointer](ctx, g, group, method, request)
}

// fileBody is a file as returned to callers.
type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
	Lines     uint32 `json:"lines"`
}

const millisPerSecond = 1000

func newFileBody(record *wire.FileRecord) fileBody {
	status := "processed"
	if !record.Complete {
		status = "uploaded"
	}
	return fileBody{
		ID:        record.ID,
		Object:    "file",
		Bytes:     record.Bytes,
		CreatedAt: record.CreatedMillis / millisPerSecond,
		Filename:  record.Filename,
		Purpose:   record.Purpose,
		Status:    status,
		Lines:     record.Lines,
	}
}

// handleFile serves GET and DELETE /v1/files/{id}.
func (g *Gateway) handleFile(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, id, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	if request.Method == http.MethodDelete {
		deleted := &wire.DeleteFileRequest{FileID: id, Tenant: tenant.Name}
		if _, err := callByID[wire.FileResponse](request.Context(), g, id, controlclient.MethodDeleteFile, deleted); err != nil {
			return err
		}
		writeJSON(writer, deletedBody{ID: id, Object: "file", Deleted: true})
		return nil
	}
	if jobID, failed, found := jobstate.ParseResultFileID(id); found {
		return g.describeResults(writer, request, tenant, id, jobID, failed)
	}
	response, err := callByID[wire.FileResponse](request.Context(), g, id, controlclient.MethodGetFile, &wire.GetFileRequest{FileID: id, Tenant: tenant.Name})
	if err != nil {
		return err
	}
	writeJSON(writer, newFileBody(&response.File))
	return nil
}

type deletedBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// describeResults responds with the description of a job's result file.
func (g *Gateway) describeResults(writer http.ResponseWriter, request *http.Request, tenant *configuration.Tenant, id, jobID string, failed bool) error {
	response, err := callByID[wire.JobResponse](request.Context(), g, jobID, controlclient.MethodGetJob, &wire.GetJobRequest{JobID: jobID, Tenant: tenant.Name})
	if err != nil {
		return err
	}
	lines := response.Job.Succeeded
	if failed {
		lines = response.Job.Failed
	}
	writeJSON(writer, fileBody{
		ID:        id,
		Object:    "file",
		CreatedAt: response.Job.CreatedMillis / millisPerSecond,
		Filename:  id + ".jsonl",
		Purpose:   "batch_output",
		Status:    "processed",
		Lines:     lines,
	})
	return nil
}

// pageSize is how many results or lines are read from control in one call.
const pageSize = 256

// handleContent serves GET /v1/files/{id}/content.
func (g *Gateway) handleContent(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, id, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	output := &lineWriter{writer: writer}
	if jobID, failed, found := jobstate.ParseResultFileID(id); found {
		err = g.writeResults(request.Context(), output, tenant, jobID, failed)
	} else {
		err = g.writeInput(request.Context(), output, tenant, id)
	}
	if err != nil && !output.started {
		return err
	}
	if err != nil {
		// The status has already been sent, so the connection is aborted to show the caller that
		// the content is incomplete.
		panic(http.ErrAbortHandler)
	}
	return output.finish()
}

// lineWriter writes JSON lines. The headers are sent with the first line.
type lineWriter struct {
	writer   http.ResponseWriter
	buffered *bufio.Writer
	started  bool
}

func (l *lineWriter) start() {
	if !l.started {
		l.started = true
		l.writer.Header().Set("Content-Type", "application/jsonl")
		l.buffered = bufio.NewWriter(l.writer)
	}
}

func (l *lineWriter) write(line any) error {
	l.start()
	encoded, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_, err = l.buffered.Write(append(encoded, '\n'))
	return err
}

func (l *lineWriter) finish() error {
	l.start()
	if err := l.buffered.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (g *Gateway) writeResults(ctx context.Context, output *lineWriter, tenant *configuration.Tenant, jobID string, failed bool) error {
	next := uint32(0)
	for {
		page, err := callByID[wire.ReadResultsResponse](ctx, g, jobID, controlclient.MethodReadResults, &wire.ReadResultsRequest{
			JobID:  jobID,
			Tenant: tenant.Name,
			From:   next,
			Limit:  pageSize,
			Failed: failed,
		})
		if err != nil {
			return err
		}
		for i := range page.Results {
			if err := output.write(newResultLine(&page.Results[i])); err != nil {
				return err
			}
		}
		if page.Done {
			return nil
		}
		next = page.Next
	}
}

func (g *Gateway) writeInput(ctx context.Context, output *lineWriter, tenant *configuration.Tenant, fileID string) error {
	file, err := callByID[wire.FileResponse](ctx, g, fileID, controlclient.MethodGetFile, &wire.GetFileRequest{FileID: fileID, Tenant: tenant.Name})
	if err != nil {
		return err
	}
	for next := uint32(0); next < file.File.Lines; {
		page, err := callByID[wire.ReadLinesResponse](ctx, g, fileID, controlclient.MethodReadLines, &wire.ReadLinesRequest{
			FileID: fileID,
			Tenant: tenant.Name,
			From:   next,
			Limit:  pageSize,
		})
		if err != nil {
			return err
		}
		for i := range page.Lines {
			if err := output.write(newInputLine(&file.File, &page.Lines[i])); err != nil {
				return err
			}
		}
		next += uint32(len(page.Lines))
		if len(page.Lines) == 0 {
			break
		}
	}
	return nil
}

// inputLine is a line of an input file as it was parsed.
type inputLine struct {
	CustomID string        `json:"custom_id"`
	Method   string        `json:"method"`
	URL      string        `json:"url"`
	Body     inputLineBody `json:"body"`
}

type inputLineBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func newInputLine(file *wire.FileRecord, line *wire.BatchLine) inputLine {
	return inputLine{
		CustomID: line.CustomID,
		Method:   http.MethodPost,
		URL:      endpointChat,
		Body:     inputLineBody{Model: fullModel(file.Model, file.Adapter), Prompt: line.Prompt, MaxTokens: line.MaxTokens},
	}
}

func fullModel(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + adapterSeparator + adapter
}

// resultLine is a line of a job's result file.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *failure.Detail `json:"error"`
}

type resultResponse struct {
	StatusCode int        `json:"status_code"`
	RequestID  string     `json:"request_id"`
	Body       completion `json:"body"`
}

func newResultLine(result *wire.ItemResult) resultLine {
	line := resultLine{ID: result.RequestID, CustomID: result.CustomID}
	if result.Failure != nil {
		detail := failure.NewBody(result.Failure.Err(), result.RequestID).Error
		line.Error = &detail
		return line
	}
	line.Response = &resultResponse{
		StatusCode: http.StatusOK,
		RequestID:  result.RequestID,
		Body: completion{
			ID:     "chatcmpl-" + result.RequestID,
			Object: "chat.completion",
			Model:  result.Model,
			Choices: []completionChoice{{
				Message:      &completionMessage{Role: "assistant", Content: result.Text},
				FinishReason: &result.FinishReason,
			}},
			Usage: newUsage(result.PromptTokens, result.CompletionTokens),
		},
	}
	return line
}
