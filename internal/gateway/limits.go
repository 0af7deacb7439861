package gateway

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
)

// limits holds each tenant's rate and concurrency at this gateway.
//
// A tenant's limit is shared evenly by the living gateways, whose number comes
// with each heartbeat. Over the fleet the sum never exceeds the limit by more
// than what gateways that have not yet heard of a new one may admit, which is
// one share for one heartbeat; a tenant that uses few of the gateways reaches
// less than its limit.
type limits struct {
	mutex   sync.Mutex
	tenants map[string]*tenantUse
}

// tenantUse is a token bucket and a count of requests in flight.
type tenantUse struct {
	tokens   float64
	filled   time.Time
	inFlight int
}

// burstTime is how much of its rate a tenant may use at once.
const burstTime = time.Second

func newLimits() *limits { return &limits{tenants: map[string]*tenantUse{}} }

// admit takes a place for one request. The returned function gives it back.
func (l *limits) admit(now time.Time, tenant *configuration.Tenant, gateways int) (func(), error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate := float64(tenant.Spec.RequestsPerSecond) / float64(gateways)
	concurrency := max(1, tenant.Spec.Concurrency/gateways)
	capacity := max(1, rate*burstTime.Seconds())
	use := l.tenants[tenant.Name]
	if use == nil {
		use = &tenantUse{tokens: capacity, filled: now}
		l.tenants[tenant.Name] = use
	}
	use.tokens = min(capacity, use.tokens+now.Sub(use.filled).Seconds()*rate)
	use.filled = now
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
