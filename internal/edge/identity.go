package edge

import (
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// identify returns the tenant to which the request's key belongs, nil if the request needs no key.
// An unknown key may have been added a moment ago, so a process rejects it as invalid only while it
// is in touch with the coordinators.
func (e *Edge) identify(now time.Time, table *routetable.Table, public bool, request *http.Request) (*routetable.Tenant, error) {
	if !table.RequiresKeys() {
		return nil, nil
	}
	keys := request.Header.Values(e.headerNames.Key)
	if len(keys) == 1 {
		if tenant := table.TenantByKey(keys[0]); tenant != nil {
			return tenant, nil
		}
	}
	switch {
	case public:
		return nil, nil
	case len(keys) != 1:
		return nil, failure.New(failure.Unauthenticated, "send one key in the header for keys", "the request has %d keys", len(keys))
	case !e.inTouch(now):
		return nil, unheardKeyError()
	}
	return nil, failure.New(failure.Unauthenticated, "ask your operator for a key", "no tenant holds the key in version %d", table.Configuration.Version)
}

// unheardKeyError returns the error for a key that may have been added a moment ago.
func unheardKeyError() error {
	return failure.New(failure.NotRun, "ask another edge", "the key is not known here, and no coordinator is heard").WithRetryAfter(shortRetryAfter)
}

// checkNewKey returns an error if the request's key may have been added a moment ago. On a public route a
// key that no tenant holds is ignored, but the owner of a job is part of its name.
func (e *Edge) checkNewKey(now time.Time, table *routetable.Table, request *http.Request) error {
	keys := request.Header.Values(e.headerNames.Key)
	if !table.RequiresKeys() || len(keys) != 1 || table.TenantByKey(keys[0]) != nil || e.inTouch(now) {
		return nil
	}
	return unheardKeyError()
}

// jobOwner returns the tenant whose jobs the request may access. Where the host accepts jobs
// without a key, a request without a key accesses those without an owner.
func (e *Edge) jobOwner(now time.Time, request *http.Request) (tenancy.Name, error) {
	if err := e.awaitPrerequisite(nil, request, time.Now(), needsConfiguration); err != nil {
		return "", err
	}
	table := e.Table()
	tenant, err := e.identify(now, table, table.AcceptsPublicJobs(request.Host), request)
	return tenant.Owner(), err
}
