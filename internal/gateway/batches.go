package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// registerCallers registers the routes of the callers' API.
func (g *Gateway) registerCallers() {
	routes := g.daemon.Server
	routes.HandleFunc("/v1/models", g.instrument("models", byMethod{http.MethodGet: g.handleModels}.serve))
	routes.HandleFunc(endpointChat, g.instrument("chat", byMethod{http.MethodPost: g.handleChat}.serve))
	routes.HandleFunc("/v1/files", g.instrument("upload", byMethod{http.MethodPost: g.handleUpload}.serve))
	routes.HandleFunc("/v1/files/{id}", g.instrument("file", byMethod{http.MethodGet: g.handleFile, http.MethodDelete: g.handleFile}.serve))
	routes.HandleFunc("/v1/files/{id}/content", g.instrument("content", byMethod{http.MethodGet: g.handleContent}.serve))
	routes.HandleFunc("/v1/batches", g.instrument("batches", byMethod{http.MethodPost: g.handleCreateBatch, http.MethodGet: g.handleListBatches}.serve))
	routes.HandleFunc("/v1/batches/{id}", g.instrument("batch", byMethod{http.MethodGet: g.handleGetBatch}.serve))
	routes.HandleFunc("/v1/batches/{id}/cancel", g.instrument("cancel", byMethod{http.MethodPost: g.handleCancelBatch}.serve))
}

// byMethod dispatches the requests of one path to a handler per HTTP method.
type byMethod map[string]handler

func (b byMethod) serve(writer http.ResponseWriter, request *http.Request, requestID string) error {
	chosen := b[request.Method]
	if chosen == nil {
		return failure.New(failure.NotFound, "check the method", "there is no %s %s", request.Method, request.URL.Path)
	}
	return chosen(writer, request, requestID)
}

func (g *Gateway) tenantAndID(request *http.Request) (*configuration.Tenant, string, error) {
	if err := g.checkAccepting(); err != nil {
		return nil, "", err
	}
	tenant, err := g.tenant(request)
	return tenant, mux.Vars(request)["id"], err
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels serves GET /v1/models.
func (g *Gateway) handleModels(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, _, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelBody{}}
	for _, model := range tenant.Spec.Models {
		list.Data = append(list.Data, modelBody{ID: model, Object: "model", OwnedBy: "sedgemast"})
		for _, adapter := range tenant.Spec.Adapters {
			list.Data = append(list.Data, modelBody{ID: fullModel(model, adapter), Object: "model", OwnedBy: "sedgemast"})
		}
	}
	writeJSON(writer, list)
	return nil
}

// batchRequest is the body of POST /v1/batches.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

const (
	maxWindow              = 30 * 24 * time.Hour
	maxMetadataEntries     = 16
	maxIdempotencyKeyBytes = 256
	maxBatchRequestBytes   = 1 << 20
	defaultListLimit       = 20
	maxListLimit           = 1000
)

// handleCreateBatch serves POST /v1/batches. Without an Idempotency-Key header the file id is the
// key, so the same request sent again returns the same job.
func (g *Gateway) handleCreateBatch(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, _, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	var body batchRequest
	if err := readJSON(request, writer, maxBatchRequestBytes, &body); err != nil {
		return err
	}
	created, err := body.validate(tenant, request.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		return err
	}
	group := jobstate.GroupOfTenant(tenant.Name, g.session.JobGroupCount())
	response, err := callControl[wire.JobResponse](request.Context(), g, group, controlclient.MethodCreateJob, created)
	if err != nil {
		return err
	}
	writeJSON(writer, newBatchBody(&response.Job))
	return nil
}

func (b *batchRequest) validate(tenant *configuration.Tenant, key string) (*wire.CreateJobRequest, error) {
	if b.InputFileID == "" {
		return nil, failure.New(failure.BadRequest, "upload a file and give its id", "there is no input file").WithField("input_file_id")
	}
	if b.Endpoint != endpointChat {
		return nil, failure.New(failure.BadRequest, "use "+endpointChat, "%q is not an endpoint that jobs can use", b.Endpoint).WithField("endpoint")
	}
	window, requested, err := b.parseWindow(tenant)
	if err != nil {
		return nil, err
	}
	if len(b.Metadata) > maxMetadataEntries {
		return nil, failure.New(failure.BadRequest, "send fewer", "there are more than %d entries", maxMetadataEntries).WithField("metadata")
	}
	if len(key) > maxIdempotencyKeyBytes {
		return nil, failure.New(failure.BadRequest, "shorten it", "the key is longer than %d bytes", maxIdempotencyKeyBytes).WithField(HeaderIdempotencyKey)
	}
	if key == "" {
		key = "file:" + b.InputFileID
	} else {
		key = "key:" + key
	}
	metadata, err := json.Marshal(b.Metadata)
	if err != nil {
		return nil, err
	}
	return &wire.CreateJobRequest{
		Tenant:          tenant.Name,
		IdempotencyKey:  key,
		FileID:          b.InputFileID,
		Endpoint:        b.Endpoint,
		WindowMillis:    window.Milliseconds(),
		RequestedMillis: requested.Milliseconds(),
		Rank:            tenant.Spec.BatchRank,
		MaxRunning:      tenant.Spec.RunningJobs,
		Metadata:        metadata,
	}, nil
}

// parseWindow returns the time until the job's deadline, and the window that the caller requested:
// zero if none.
func (b *batchRequest) parseWindow(tenant *configuration.Tenant) (window, requested time.Duration, err error) {
	if b.CompletionWindow == "" {
		return tenant.Spec.BatchWindow.Std(), 0, nil
	}
	requested, err = time.ParseDuration(b.CompletionWindow)
	if err != nil || requested < time.Second || requested > maxWindow {
		return 0, 0, failure.New(failure.BadRequest, "give a duration such as 24h, at most 720h", "%q is not a window", b.CompletionWindow).WithField("completion_window")
	}
	return requested, requested, nil
}

// batchBody is a job as returned to callers.
type batchBody struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	ExpiredAt        int64             `json:"expired_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     uint32 `json:"total"`
	Completed uint32 `json:"completed"`
	Failed    uint32 `json:"failed"`
}

func newBatchBody(job *wire.JobRecord) batchBody {
	window := time.Duration(job.DeadlineMillis-job.CreatedMillis) * time.Millisecond
	body := batchBody{
		ID:               job.ID,
		Object:           "batch",
		Endpoint:         job.Endpoint,
		InputFileID:      job.FileID,
		CompletionWindow: window.String(),
		Status:           job.State.String(),
		CreatedAt:        job.CreatedMillis / millisPerSecond,
		ExpiresAt:        job.DeadlineMillis / millisPerSecond,
		RequestCounts:    requestCounts{Total: job.Items, Completed: job.Succeeded, Failed: job.Failed},
	}
	ended := job.EndedMillis / millisPerSecond
	switch job.State {
	case wire.JobCompleted:
		body.CompletedAt = ended
	case wire.JobCancelled:
		body.CancelledAt = ended
	case wire.JobExpired:
		body.ExpiredAt = ended
	}
	if job.Succeeded > 0 {
		body.OutputFileID = jobstate.OutputFileID(job.ID)
	}
	if job.Failed > 0 {
		body.ErrorFileID = jobstate.ErrorFileID(job.ID)
	}
	// Metadata was encoded by a gateway. If it does not decode, it is left out.
	_ = json.Unmarshal(job.Metadata, &body.Metadata)
	return body
}

// handleGetBatch serves GET /v1/batches/{id}.
func (g *Gateway) handleGetBatch(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, id, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	response, err := callByID[wire.JobResponse](request.Context(), g, id, controlclient.MethodGetJob, &wire.GetJobRequest{JobID: id, Tenant: tenant.Name})
	if err != nil {
		return err
	}
	writeJSON(writer, newBatchBody(&response.Job))
	return nil
}

// handleCancelBatch serves POST /v1/batches/{id}/cancel.
func (g *Gateway) handleCancelBatch(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, id, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	response, err := callByID[wire.JobResponse](request.Context(), g, id, controlclient.MethodCancelJob, &wire.CancelJobRequest{JobID: id, Tenant: tenant.Name})
	if err != nil {
		return err
	}
	writeJSON(writer, newBatchBody(&response.Job))
	return nil
}

type batchList struct {
	Object  string      `json:"object"`
	Data    []batchBody `json:"data"`
	HasMore bool        `json:"has_more"`
}

// handleListBatches serves GET /v1/batches.
func (g *Gateway) handleListBatches(writer http.ResponseWriter, request *http.Request, _ string) error {
	tenant, _, err := g.tenantAndID(request)
	if err != nil {
		return err
	}
	limit, err := listLimit(request)
	if err != nil {
		return err
	}
	group := jobstate.GroupOfTenant(tenant.Name, g.session.JobGroupCount())
	response, err := callControl[wire.ListJobsResponse](request.Context(), g, group, controlclient.MethodListJobs, &wire.ListJobsRequest{Tenant: tenant.Name, Limit: limit + 1})
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batchBody{}, HasMore: len(response.Jobs) > limit}
	for i := range response.Jobs[:min(limit, len(response.Jobs))] {
		list.Data = append(list.Data, newBatchBody(&response.Jobs[i]))
	}
	writeJSON(writer, list)
	return nil
}

func listLimit(request *http.Request) (int, error) {
	text := request.URL.Query().Get("limit")
	if text == "" {
		return defaultListLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxListLimit {
		return 0, failure.New(failure.BadRequest, "choose a value in the range", "%q is not from 1 to %d", text, maxListLimit).WithField("limit")
	}
	return limit, nil
}
