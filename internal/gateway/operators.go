package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/operator"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// registerOperators registers the routes of the operators' API.
func (g *Gateway) registerOperators() {
	routes := g.daemon.Server
	routes.HandleFunc(operator.PathChanges, g.instrument("apply", byMethod{http.MethodPost: g.handleApply, http.MethodGet: g.handleHistory}.serve))
	routes.HandleFunc(operator.PathDocuments, g.instrument("documents", byMethod{http.MethodGet: g.handleDocuments}.serve))
	routes.HandleFunc(operator.PathStatus, g.instrument("status", byMethod{http.MethodGet: g.handleStatus}.serve))
	routes.HandleFunc(operator.PathJobs, g.instrument("jobs", byMethod{http.MethodGet: g.handleJobs}.serve))
}

// handleApply serves POST on changes. The expected revision is given in the body or, as an entity
// tag, in If-Match.
func (g *Gateway) handleApply(writer http.ResponseWriter, request *http.Request, _ string) error {
	name, err := g.operator(request)
	if err != nil {
		return err
	}
	var change operator.Change
	if err := readJSON(request, writer, int64(g.settings.MaxBodyBytes), &change); err != nil {
		return err
	}
	expected, err := expectedRevision(request, &change)
	if err != nil {
		return err
	}
	applied := &wire.ApplyRequest{ChangeID: change.ChangeID, ExpectedRevision: expected, Operator: name}
	for _, document := range change.Documents {
		applied.Documents = append(applied.Documents, wire.Document{
			Kind:    document.Kind,
			Name:    document.Name,
			Body:    document.Spec,
			Deleted: document.Delete,
		})
	}
	response, err := callControl[wire.ApplyResponse](request.Context(), g, controlclient.MetaGroup, controlclient.MethodApply, applied)
	if err != nil {
		return err
	}
	logging.Info(g.logger, "configuration_accepted", "operator", name, "change", change.ChangeID, "revision", response.Revision)
	writer.Header().Set("ETag", entityTag(response.Revision))
	writeJSON(writer, response)
	// Fetch the new configuration now, so that it applies here when the operator has the response.
	g.session.HeartbeatNow()
	return nil
}

func entityTag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

func expectedRevision(request *http.Request, change *operator.Change) (uint64, error) {
	tag := strings.Trim(request.Header.Get("If-Match"), `"`)
	if tag == "" && change.ExpectedRevision == nil {
		return 0, failure.New(failure.BadRequest, "give the revision that the change is based on, in expected_revision or If-Match", "the change names no revision").WithField("expected_revision")
	}
	if tag == "" {
		return *change.ExpectedRevision, nil
	}
	revision, err := strconv.ParseUint(tag, 10, 64)
	if err != nil || (change.ExpectedRevision != nil && *change.ExpectedRevision != revision) {
		return 0, failure.New(failure.BadRequest, "give one revision", "If-Match %q does not fit", tag).WithField("If-Match")
	}
	return revision, nil
}

func (g *Gateway) handleDocuments(writer http.ResponseWriter, request *http.Request, _ string) error {
	if _, err := g.operator(request); err != nil {
		return err
	}
	query := request.URL.Query()
	response, err := callControl[wire.GetDocumentsResponse](request.Context(), g, controlclient.MetaGroup, controlclient.MethodDocuments, &wire.GetDocumentsRequest{Kind: query.Get("kind"), Name: query.Get("name")})
	if err != nil {
		return err
	}
	list := operator.Documents{Revision: response.Revision, Documents: []operator.Document{}}
	for _, document := range response.Documents {
		list.Documents = append(list.Documents, operator.Document{
			Kind:     document.Kind,
			Name:     document.Name,
			Revision: document.Revision,
			Spec:     json.RawMessage(document.Body),
		})
	}
	writer.Header().Set("ETag", entityTag(response.Revision))
	writeJSON(writer, list)
	return nil
}

func (g *Gateway) handleHistory(writer http.ResponseWriter, request *http.Request, _ string) error {
	if _, err := g.operator(request); err != nil {
		return err
	}
	limit, err := listLimit(request)
	if err != nil {
		return err
	}
	response, err := callControl[wire.HistoryResponse](request.Context(), g, controlclient.MetaGroup, controlclient.MethodHistory, &wire.HistoryRequest{Limit: limit})
	if err != nil {
		return err
	}
	writeJSON(writer, response)
	return nil
}

func (g *Gateway) handleStatus(writer http.ResponseWriter, request *http.Request, _ string) error {
	if _, err := g.operator(request); err != nil {
		return err
	}
	response, err := callControl[wire.StatusResponse](request.Context(), g, controlclient.MetaGroup, controlclient.MethodStatus, &wire.StatusRequest{})
	if err != nil {
		return err
	}
	writeJSON(writer, operator.NewStatus(response))
	return nil
}

func (g *Gateway) handleJobs(writer http.ResponseWriter, request *http.Request, _ string) error {
	if _, err := g.operator(request); err != nil {
		return err
	}
	limit, err := listLimit(request)
	if err != nil {
		return err
	}
	list := operator.Jobs{Jobs: []operator.Job{}}
	for group := 1; group <= g.session.JobGroupCount(); group++ {
		response, err := callControl[wire.ListJobsResponse](request.Context(), g, group, controlclient.MethodListJobs, &wire.ListJobsRequest{Group: group, Tenant: request.URL.Query().Get("tenant"), Limit: limit})
		if err != nil {
			return err
		}
		for i := range response.Jobs {
			list.Jobs = append(list.Jobs, operator.NewJob(&response.Jobs[i]))
		}
	}
	list.Trim(limit)
	writeJSON(writer, list)
	return nil
}
