package gateway

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
)

// limits enforces the tenants' rate and concurrency limits at this gateway.
//
// A tenant's limit is divided evenly among the live gateways, whose number comes with each
// heartbeat. Over all gateways the sum exceeds the limit by at most one share for one heartbeat
// interval. This excess is what the other gateways admit before they learn of a new gateway. A
// tenant that uses only some of the gateways gets less than its limit.
type limits struct {
	mutex   sync.Mutex
	tenants map[string]*tenantUse
}

// tenantUse is a tenant's token bucket and its number of requests in flight.
type tenantUse struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// burstDuration is the size of the token bucket, as a time at the full rate.
const burstDuration = time.Second

func newLimits() *limits { return &limits{tenants: map[string]*tenantUse{}} }

// admit admits one request or returns an OverLimit failure. The returned function must be called
// when the request ends.
func (l *limits) admit(now time.Time, tenant *configuration.Tenant, gateways int) (func(), error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate := float64(tenant.Spec.RequestsPerSecond) / float64(gateways)
	concurrency := max(1, tenant.Spec.Concurrency/gateways)
	capacity := max(1, rate*burstDuration.Seconds())
	use := l.tenants[tenant.Name]
	if use == nil {
		use = &tenantUse{tokens: capacity, refilledAt: now}
		l.tenants[tenant.Name] = use
	}
	use.tokens = min(capacity, use.tokens+now.Sub(use.refilledAt).Seconds()*rate)
	use.refilledAt = now
	if use.inFlight >= concurrency {
		return nil, failure.New(failure.OverLimit, "wait until an answer has come, or ask for a higher concurrency", "%d requests of tenant %s are in flight here", use.inFlight, tenant.Name).WithRetryAfter(shortRetryAfter)
	}
	if use.tokens < 1 {
		wait := time.Duration((1 - use.tokens) / rate * float64(time.Second))
		return nil, failure.New(failure.OverLimit, "wait for the time given, or ask for a higher requests_per_second", "tenant %s sends more than %d requests a second", tenant.Name, tenant.Spec.RequestsPerSecond).WithRetryAfter(wait)
	}
	use.tokens--
	use.inFlight++
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		use.inFlight--
	}, nil
}
