package coordinator

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

// Paths of the operator API:
//
//	PUT PathRoutes: apply a routetable.Configuration, as JSON; 200 once it, or a higher version,
//	    is committed
//	GET PathRoutes: the newest configuration as it was sent; 503 if it is not certain to be newest
//	POST PathStores NAME /retirement: start to drain a store; 404 if it is unknown, 409 if too few
//	    stores would remain
//	GET PathStores NAME /retirement: the state as RetirementState
//	GET PathQuarantine: the requests under which workers exited, as a list of Quarantined
//	DELETE PathQuarantine/REQUEST: readmit a refused request; 404 if it is unknown
const (
	PathRoutes       = "/sedgemast/v1/routes"
	PathStores       = "/sedgemast/v1/stores/"
	retirementSuffix = "/retirement"
	PathQuarantine   = "/sedgemast/v1/quarantine"
	// maxDocumentBytes bounds a configuration sent by an operator.
	maxDocumentBytes = 16 << 20
)

// RetirementState says whether a store that is being retired has been drained.
type RetirementState struct {
	Store string `json:"store"`
	Done  bool   `json:"done"`
}

// API serves the operator API over HTTP.
type API struct {
	Coordinator *Coordinator
	Logger      logging.Logger
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	err := a.serve(writer, request)
	if err == nil {
		return
	}
	typed := failure.From(err)
	logging.Info(a.Logger, "operator_refused", "method", request.Method, "path", request.URL.Path, "error", err)
	httpapi.WriteFailure(writer, httpapi.StatusCode(typed), typed)
}

func (a *API) serve(writer http.ResponseWriter, request *http.Request) error {
	name, isRetirement := strings.CutSuffix(request.URL.Path, retirementSuffix)
	name, isStore := strings.CutPrefix(name, PathStores)
	fingerprint, isQuarantineEntry := strings.CutPrefix(request.URL.Path, PathQuarantine+"/")
	call := request.Method + " " + request.URL.Path
	switch {
	case call == http.MethodPut+" "+PathRoutes:
		return a.putRoutes(request)
	case call == http.MethodGet+" "+PathRoutes:
		source, err := a.Coordinator.Source(request.Context())
		if err != nil {
			return err
		}
		httpapi.WriteBody(writer, "application/json", source.Source)
		return nil
	case call == http.MethodGet+" "+PathQuarantine:
		return a.listQuarantine(writer, request)
	case request.Method == http.MethodDelete && isQuarantineEntry:
		return a.releaseQuarantined(request, fingerprint)
	case isRetirement && isStore && request.Method == http.MethodPost:
		return a.Coordinator.Retire(request.Context(), name)
	case isRetirement && isStore && request.Method == http.MethodGet:
		return a.getRetirement(writer, request, name)
	}
	return failure.New(failure.NotFound, "check method and path", "there is no %s", call)
}

func (a *API) listQuarantine(writer http.ResponseWriter, request *http.Request) error {
	list, err := a.Coordinator.Quarantine(request.Context())
	if err != nil {
		return err
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	httpapi.WriteBody(writer, "application/json", body)
	return nil
}

func (a *API) releaseQuarantined(request *http.Request, name string) error {
	fingerprint, err := quarantine.ParseFingerprint(name)
	if err != nil {
		return err
	}
	return a.Coordinator.Release(request.Context(), fingerprint)
}

func (a *API) putRoutes(request *http.Request) error {
	source, err := httpapi.ReadDocument(request, maxDocumentBytes)
	if err != nil {
		return err
	}
	configuration, err := routetable.Decode(source)
	if err != nil {
		return err
	}
	return a.Coordinator.Apply(request.Context(), configuration, source)
}

func (a *API) getRetirement(writer http.ResponseWriter, request *http.Request, name string) error {
	retirement, err := a.Coordinator.Retirement(request.Context(), name)
	if err != nil {
		return err
	}
	body, err := json.Marshal(RetirementState{Store: name, Done: retirement.Done})
	if err != nil {
		return err
	}
	httpapi.WriteBody(writer, "application/json", body)
	return nil
}
