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

// Paths of the operator's calls in the product's own interface:
//
//	PUT  PathRoutes      a routetable.Configuration as JSON; 200 once it, or a higher version, is committed
//	GET  PathRoutes      the newest configuration as it was sent; 503 where that is not certain
//	POST PathStores NAME /retirement   empty a store; 404 unknown, 409 where too few would be left
//	GET  PathStores NAME /retirement   RetirementState
//	GET    PathQuarantine              the requests under which workers ended, a list of Quarantined
//	DELETE PathQuarantine/REQUEST      let a refused request in again; 404 unknown
const (
	PathRoutes     = "/sedgemast/v1/routes"
	PathStores     = "/sedgemast/v1/stores/"
	partRetirement = "/retirement"
	PathQuarantine = "/sedgemast/v1/quarantine"
	// maxDocumentBytes bounds the operator's document.
	maxDocumentBytes = 16 << 20
)

// RetirementState tells how far the emptying of a store is.
type RetirementState struct {
	Store string `json:"store"`
	Done  bool   `json:"done"`
}

// API serves operators in the product's own interface.
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
	name, isRetirement := strings.CutSuffix(request.URL.Path, partRetirement)
	name, isStore := strings.CutPrefix(name, PathStores)
	quarantined, isQuarantined := strings.CutPrefix(request.URL.Path, PathQuarantine+"/")
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
		return a.getQuarantine(writer, request)
	case request.Method == http.MethodDelete && isQuarantined:
		return a.release(request, quarantined)
	case isRetirement && isStore && request.Method == http.MethodPost:
		return a.Coordinator.Retire(request.Context(), name)
	case isRetirement && isStore && request.Method == http.MethodGet:
		return a.getRetirement(writer, request, name)
	}
	return failure.New(failure.NotFound, "check method and path", "there is no %s", call)
}

func (a *API) getQuarantine(writer http.ResponseWriter, request *http.Request) error {
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

func (a *API) release(request *http.Request, name string) error {
	quarantined, err := quarantine.ParseFingerprint(name)
	if err != nil {
		return err
	}
	return a.Coordinator.Release(request.Context(), quarantined)
}

func (a *API) putRoutes(request *http.Request) error {
	source, err := httpapi.ReadBody(request, maxDocumentBytes)
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
