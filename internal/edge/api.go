package edge

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// PathJobs is the path prefix of the calls on submitted jobs:
//
//	GET    ID/results?since=POSITION&wait_ms=MILLISECONDS   -> JobPage
//	GET    ID/items/ITEM                                    -> the item's body
//	DELETE ID                                               -> the job is ended
//
// A job is submitted by a POST of a JobDocument below the path prefix of a batch route, with the
// job's id in the request id header.
const PathJobs = "/sedgemast/v1/jobs/"

// JobDocument is a job as callers submit it.
type JobDocument struct {
	Items []JobItem `json:"items"`
}

// JobItem is one request of a job.
type JobItem struct {
	ID      string      `json:"id"`
	Path    string      `json:"path"`
	Headers ItemHeaders `json:"headers"`
	// Body is base64 in JSON.
	Body []byte `json:"body"`
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens int64 `json:"tokens"`
}

// JobPage holds the results of a job from a position on.
type JobPage struct {
	// Total is the number of items in the job. Next is the position after the last result.
	Total   int         `json:"total"`
	Next    int         `json:"next"`
	Results []JobResult `json:"results"`
}

// JobResult is the result at one position. State is completed or abandoned.
type JobResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// API serves the product's native HTTP interface.
type API struct{ Edge *Edge }

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	rest, isJob := strings.CutPrefix(request.URL.Path, PathJobs)
	if !isJob {
		a.Edge.ServeWithJobs(writer, request, a.submit)
		return
	}
	if err := a.serveJob(writer, request, rest); err != nil {
		a.Edge.Reject(writer, request, err)
	}
}

func (a *API) submit(request *http.Request, body []byte, table *routetable.Table, route *routetable.Route) error {
	document, err := DecodeJob(request.Context(), body)
	if err != nil {
		return err
	}
	return a.Edge.SubmitJob(request, table, route, document.Job(request.Header.Get(a.Edge.headerNames.RequestID), request.Host))
}

// Job converts the document to the message that the stores take.
func (d *JobDocument) Job(id, host string) *wire.SubmitBatch {
	job := &wire.SubmitBatch{ID: id, Host: host}
	for i := range d.Items {
		item := &d.Items[i]
		job.Items = append(job.Items, wire.BatchItem{ID: item.ID, Path: item.Path, Headers: item.Headers, Body: item.Body, Tokens: item.Tokens})
	}
	return job
}

func (a *API) serveJob(writer http.ResponseWriter, request *http.Request, rest string) error {
	id, part, _ := strings.Cut(rest, "/")
	item, isItem := strings.CutPrefix(part, "items/")
	switch {
	case part == "" && request.Method == http.MethodDelete:
		return a.Edge.EndJob(request, id)
	case part == "results" && request.Method == http.MethodGet:
		return a.results(writer, request, id)
	case isItem && request.Method == http.MethodGet:
		body, err := a.Edge.ItemBody(request, id, item)
		if err != nil {
			return err
		}
		httpapi.WriteBody(writer, "application/octet-stream", body)
		return nil
	}
	return failure.New(failure.NotFound, "check method and path", "there is no %s %s", request.Method, request.URL.Path)
}

func (a *API) results(writer http.ResponseWriter, request *http.Request, id string) error {
	since, err := httpapi.ParseCount(request.URL.Query().Get("since"), "since")
	if err != nil {
		return err
	}
	wait, err := httpapi.ParseCount(request.URL.Query().Get("wait_ms"), "wait_ms")
	if err != nil {
		return err
	}
	response, err := a.Edge.ReadJob(request, id, since, time.Duration(wait)*time.Millisecond)
	if err != nil {
		return err
	}
	page := JobPage{Total: response.Total, Next: since + len(response.Results), Results: []JobResult{}}
	for _, row := range response.Results {
		page.Results = append(page.Results, JobResult{ID: row.ID, State: row.State.String(), Text: row.Text})
	}
	body, err := json.Marshal(page)
	if err != nil {
		return err
	}
	httpapi.WriteBody(writer, "application/json", body)
	return nil
}
