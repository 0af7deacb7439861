package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"mime/multipart"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// chunkLines and chunkBytes bound the part of an upload that is held in memory.
	chunkLines      = 512
	chunkBytes      = 512 << 10
	readBufferBytes = 64 << 10
	maxFieldBytes   = 1024
	purposeBatch    = "batch"
	endpointChat    = "/v1/chat/completions"
	commandTimeout  = 15 * time.Second
	cleanupTimeout  = 5 * time.Second
)

// batchLine is one line of a job's input file as sent by callers.
type batchLine struct {
	CustomID string      `json:"custom_id"`
	Method   string      `json:"method"`
	URL      string      `json:"url"`
	Body     chatRequest `json:"body"`
}

// upload reads a job's input file as a stream. It checks each line and sends the lines to control
// in chunks, so that memory use does not grow with the size of the file.
type upload struct {
	gateway   *Gateway
	tenant    *configuration.Tenant
	file      wire.FileRecord
	group     int
	model     string
	adapter   string
	lines     uint32
	firstLine uint32
	chunk     []wire.BatchLine
	chunkSize int
	digest    hash.Hash
	seenIDs   map[uint64]struct{}
}

// handleUpload serves POST /v1/files.
func (g *Gateway) handleUpload(writer http.ResponseWriter, request *http.Request, _ string) error {
	if err := g.checkAccepting(); err != nil {
		return err
	}
	tenant, err := g.tenant(request)
	if err != nil {
		return err
	}
	select {
	case g.uploads <- struct{}{}:
		defer func() { <-g.uploads }()
	default:
		return failure.New(failure.NotRun, "send it again after the time given", "%d uploads are in progress here", cap(g.uploads)).WithRetryAfter(shortRetryAfter)
	}
	if err := intake.Hold(request.Context(), int64(2*chunkBytes+g.settings.MaxLineBytes)); err != nil {
		return err
	}
	request.Body = &progressReader{ReadCloser: request.Body, controller: http.NewResponseController(writer)}
	parts, err := request.MultipartReader()
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "send multipart/form-data with the parts purpose and file", "the body is not a form").WithField("body")
	}
	u := &upload{gateway: g, tenant: tenant, digest: sha256.New(), seenIDs: map[uint64]struct{}{}}
	record, err := u.readForm(request.Context(), parts)
	if err != nil {
		u.discard()
		return err
	}
	writeJSON(writer, newFileBody(record))
	return nil
}

// progressTimeout bounds the time in which an upload in progress sends its next bytes.
const progressTimeout = 30 * time.Second

// progressReader reads the body of an upload, which must go on.
type progressReader struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	// Only the writers of tests do not support deadlines.
	_ = r.controller.SetReadDeadline(time.Now().Add(progressTimeout))
	count, err := r.ReadCloser.Read(buffer)
	if err == io.EOF {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return count, err
}

// readForm reads the parts of the form, which may come in any order.
func (u *upload) readForm(ctx context.Context, parts *multipart.Reader) (*wire.FileRecord, error) {
	purpose := ""
	for {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, failure.Wrap(err, failure.BadRequest, "send the whole form", "the form was cut").WithField("body")
		}
		switch part.FormName() {
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if err != nil {
				return nil, failure.Wrap(err, failure.BadRequest, "send the whole form", "the form was cut").WithField("purpose")
			}
			purpose = string(value)
		case "file":
			if err := u.readFile(ctx, part); err != nil {
				return nil, err
			}
		}
	}
	if purpose != purposeBatch {
		return nil, failure.New(failure.BadRequest, "send purpose=batch", "%q is not a purpose", purpose).WithField("purpose")
	}
	if u.file.ID == "" {
		return nil, failure.New(failure.BadRequest, "send the part file", "there is no file in the form").WithField("file")
	}
	if u.lines == 0 {
		return nil, failure.New(failure.BadRequest, "send at least one line", "the file is empty").WithField("file")
	}
	return u.complete(ctx)
}

func (u *upload) readFile(ctx context.Context, part *multipart.Part) error {
	if u.file.ID != "" {
		return failure.New(failure.BadRequest, "send one file in a form", "there is a second file in the form").WithField("file")
	}
	if err := u.beginFile(ctx, part.FileName()); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(io.TeeReader(part, u.digest), readBufferBytes)
	for number := 1; ; number++ {
		line, err := u.readLine(reader, number)
		atEOF := errors.Is(err, io.EOF)
		if err != nil && !atEOF {
			return err
		}
		if len(bytes.TrimSpace(line)) > 0 {
			if err := u.addLine(ctx, number, line); err != nil {
				return err
			}
		}
		if atEOF {
			return u.flush(ctx)
		}
	}
}

func (u *upload) beginFile(ctx context.Context, filename string) error {
	groups := u.gateway.session.JobGroupCount()
	u.group = jobstate.GroupOfTenant(u.tenant.Name, max(1, groups))
	request := &wire.BeginFileRequest{Tenant: u.tenant.Name, Filename: filename, Purpose: purposeBatch}
	response, err := callControl[wire.FileResponse](ctx, u.gateway, u.group, controlclient.MethodBeginFile, request)
	if err != nil {
		return err
	}
	u.file = response.File
	return nil
}

// readLine returns the next line. Its memory use is bounded by the longest allowed line.
func (u *upload) readLine(reader *bufio.Reader, number int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > u.gateway.settings.MaxLineBytes {
			return nil, lineFailure(number, failure.New(failure.BadRequest, "shorten it", "the line is longer than %d bytes", u.gateway.settings.MaxLineBytes))
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == nil, errors.Is(err, io.EOF):
			return line, err
		}
		return nil, failure.Wrap(err, failure.BadRequest, "send the whole file", "the file was cut after line %d", number-1).WithField("file")
	}
}

// lineFailure adds the number of the invalid line to a failure.
func lineFailure(number int, err error) error {
	typed := failure.From(err)
	path := fmt.Sprintf("line %d", number)
	if typed.Field != "" {
		path += "." + typed.Field
	}
	return failure.New(typed.Kind, typed.Remedy, "%s", typed.Message).WithField(path)
}

func (u *upload) addLine(ctx context.Context, number int, data []byte) error {
	if int(u.lines) >= u.gateway.settings.MaxFileLines {
		return lineFailure(number, failure.New(failure.BadRequest, "split the file", "the file has more than %d lines", u.gateway.settings.MaxFileLines))
	}
	line, err := u.parseLine(data)
	if err != nil {
		return lineFailure(number, err)
	}
	u.chunk = append(u.chunk, *line)
	u.chunkSize += len(data)
	u.lines++
	if len(u.chunk) >= chunkLines || u.chunkSize >= chunkBytes {
		return u.flush(ctx)
	}
	return nil
}

func (u *upload) parseLine(data []byte) (*wire.BatchLine, error) {
	var line batchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return nil, failure.New(failure.BadRequest, "write one JSON object a line", "the line does not parse: %v", err)
	}
	if line.CustomID == "" {
		return nil, failure.New(failure.BadRequest, "give each line an id of its own", "the line has no custom_id").WithField("custom_id")
	}
	if line.Method != http.MethodPost || line.URL != endpointChat {
		return nil, failure.New(failure.BadRequest, "use method POST and url "+endpointChat, "%q %q is not a request that jobs can make", line.Method, line.URL).WithField("url")
	}
	key := xxhash.Sum64String(line.CustomID)
	if _, duplicate := u.seenIDs[key]; duplicate {
		return nil, failure.New(failure.BadRequest, "give each line an id of its own", "custom_id %q stands twice", line.CustomID).WithField("custom_id")
	}
	u.seenIDs[key] = struct{}{}
	checked, err := line.Body.validate(u.tenant)
	if err != nil {
		typed := failure.From(err)
		return nil, failure.New(typed.Kind, typed.Remedy, "%s", typed.Message).WithField("body." + typed.Field)
	}
	if u.lines == 0 {
		u.model, u.adapter = checked.Model, checked.Adapter
	}
	if checked.Model != u.model || checked.Adapter != u.adapter {
		return nil, failure.New(failure.BadRequest, "use one model in a file", "the file began with model %q", u.model).WithField("body.model")
	}
	return &wire.BatchLine{CustomID: line.CustomID, Prompt: checked.Prompt, MaxTokens: checked.MaxTokens}, nil
}

// flush sends the buffered lines to control.
func (u *upload) flush(ctx context.Context) error {
	if len(u.chunk) == 0 {
		return nil
	}
	request := &wire.AppendFileRequest{
		FileID:    u.file.ID,
		Tenant:    u.tenant.Name,
		FirstLine: u.firstLine,
		Bytes:     int64(u.chunkSize),
		Lines:     u.chunk,
	}
	if _, err := callControl[wire.FileResponse](ctx, u.gateway, u.group, controlclient.MethodAppendFile, request); err != nil {
		return err
	}
	u.firstLine = u.lines
	u.chunk, u.chunkSize = u.chunk[:0], 0
	return nil
}

func (u *upload) complete(ctx context.Context) (*wire.FileRecord, error) {
	response, err := callControl[wire.FileResponse](ctx, u.gateway, u.group, controlclient.MethodCompleteFile, &wire.CompleteFileRequest{
		FileID:  u.file.ID,
		Tenant:  u.tenant.Name,
		Model:   u.model,
		Adapter: u.adapter,
		Lines:   u.lines,
		Digest:  hex.EncodeToString(u.digest.Sum(nil)),
	})
	if err != nil {
		return nil, err
	}
	return &response.File, nil
}

// discard deletes the uploaded part of a rejected file. If the deletion fails, control deletes the
// file once its upload has been idle for an hour.
func (u *upload) discard() {
	if u.file.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	request := &wire.DeleteFileRequest{FileID: u.file.ID, Tenant: u.tenant.Name}
	_, _ = callControl[wire.FileResponse](ctx, u.gateway, u.group, controlclient.MethodDeleteFile, request)
}
