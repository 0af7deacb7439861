package edge

import (
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// certainTime is how long after the last word of a coordinator this process is sure to
// know all keys: a call that waits for news is held for 0.5 s, and answered within 0.6 s.
const certainTime = 1200 * time.Millisecond

// identify returns whose request it is, by its key: nil where it needs none. A key that
// is not known is refused for good only by a process that hears the coordinators, because
// it may have been added a moment ago.
func (e *Edge) identify(now time.Time, table *routetable.Table, public bool, request *http.Request) (*routetable.Tenant, error) {
	if !table.RequiresKeys() {
		return nil, nil
	}
	keys := request.Header.Values(e.dialect.Key)
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
	case now.Sub(e.watcher.Current().LeaderSeenAt) > certainTime:
		return nil, failure.New(failure.NotRun, "ask another edge", "the key is not known here, and no coordinator is heard").WithRetryAfter(shortRetry)
	}
	return nil, failure.New(failure.Unauthenticated, "ask your operator for a key", "no tenant holds the key in version %d", table.Configuration.Version)
}

// jobOwner returns whose jobs the request may see. Where the host takes jobs without a
// key, a request without one sees those that belong to nobody.
func (e *Edge) jobOwner(now time.Time, request *http.Request) (tenancy.Name, error) {
	if err := e.await(nil, request, time.Now(), needConfiguration); err != nil {
		return "", err
	}
	table := e.Table()
	tenant, err := e.identify(now, table, table.AcceptsPublicJobs(request.Host), request)
	return tenant.Owner(), err
}
