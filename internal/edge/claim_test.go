package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/fairshare"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// claimCount returns the number of claims of a tenant and rank.
func (f *tenantFleet) claimCount(tenant uint32, rank int32) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, claim := range f.claims {
		if claim.Tenant == tenant && claim.Rank == rank {
			count++
		}
	}
	return count
}

// reconfigure changes the configuration and waits until the edge uses it.
func (f *tenantFleet) reconfigure(t *testing.T, change func(c *routetable.Configuration)) {
	t.Helper()
	f.mutex.Lock()
	changed := *f.configuration
	changed.Version++
	changed.Routes = append([]routetable.Route(nil), changed.Routes...)
	changed.Tenants = append([]routetable.Tenant(nil), changed.Tenants...)
	change(&changed)
	f.configuration = &changed
	f.mutex.Unlock()
	waitFor(t, "the new configuration", func() bool { return f.edge.Table().Configuration.Version == changed.Version })
}

// counterValues returns the values of a counter, keyed by its label values in the order of the
// label names.
func counterValues(t *testing.T, counters prometheus.Collector) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(counters)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			var values []string
			for _, label := range metric.GetLabel() {
				values = append(values, label.GetValue())
			}
			counts[strings.Join(values, " ")] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

// TestRequestsClaimCapacity checks that each request claims capacity once and that started requests
// are counted. The claim has the rank of the tenant, or the rank of the route if the tenant has no
// rank or there is no tenant. The callers are a tenant with a limit, a tenant without one, and a
// caller without a key.
func TestRequestsClaimCapacity(t *testing.T) {
	f := startTenants(t)
	f.reconfigure(t, func(c *routetable.Configuration) {
		c.Routes[0].Rank, c.Routes[1].Rank = 3, 4
		rank := 1
		c.Tenants[0].Rank = &rank
	})
	for _, test := range []struct {
		host, key string
		tenant    uint32
		rank      int32
	}{
		{"h.example", keyA, routetable.ShortName("a"), 1},
		{"h.example", keyB, routetable.ShortName("b"), 3},
		{"open.example", "", fairshare.Public, 4},
	} {
		// The first requests may be sent before the hub has answered.
		waitFor(t, "the claim of "+test.key, func() bool {
			var keys []string
			if test.key != "" {
				keys = []string{test.key}
			}
			f.call(t, http.MethodPost, test.host, "/x", "prompt", keys...)
			return f.claimCount(test.tenant, test.rank) > 0
		})
		before := f.claimCount(test.tenant, test.rank)
		f.call(t, http.MethodPost, test.host, "/x", "prompt", test.key)
		if got := f.claimCount(test.tenant, test.rank); test.key != "" && got != before+1 {
			t.Errorf("%+v: got %d claims for one request, want 1", test, got-before)
		}
	}
	want := f.edge.startedRequests.Load()
	waitFor(t, "the counts", func() bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return want >= 5 && f.started == want && f.shortages == 0
	})
	if given := counterValues(t, f.edge.metrics.capacity)["given 3"]; given < 2 {
		t.Errorf("rank 3: counted %g started requests, want at least 2", given)
	}
}

// TestNoClaimsWithoutTenants checks that nothing is claimed or counted once the tenants are
// removed from the configuration.
func TestNoClaimsWithoutTenants(t *testing.T) {
	f := startTenants(t)
	f.reconfigure(t, func(c *routetable.Configuration) { c.Tenants = nil })
	for range 20 {
		if status, _ := f.call(t, http.MethodPost, "h.example", "/x", "prompt"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.claims) > 0 || f.started+f.shortages > 0 {
		t.Errorf("got %d claims, %d started, %d without capacity; want none", len(f.claims), f.started, f.shortages)
	}
	if counts := counterValues(t, f.edge.metrics.capacity); len(counts) > 0 {
		t.Errorf("counted %v, want nothing", counts)
	}
}

// testCall returns a call of a tenant before its first attempt, on a route whose callers wait 5 s
// and whose first event takes 80 ms, with a goal of 300 ms.
func testCall(t *testing.T, f *tenantFleet, tenant *routetable.Tenant, left time.Duration) (*call, *httptest.ResponseRecorder) {
	t.Helper()
	table := f.edge.Table()
	route := table.RouteByName("r")
	route.GoalMillis = 300
	f.edge.withRouteStats(route, func(stats *admission.Route) {
		stats.ObserveArrival(5 * time.Second)
		stats.ObserveFirstEvent(80 * time.Millisecond)
	})
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/x", nil)
	now := time.Now()
	c := newCall(f.edge, context.Background(), table, route, tenant, recorder, http.NewResponseController(recorder), request, nil, now, now.Add(left))
	return c, recorder
}

// TestOverShareIsRejected checks that a request is rejected for its share only if its tenant is
// over the share, it would have to wait, and it is not a retry.
func TestOverShareIsRejected(t *testing.T) {
	f := startTenants(t)
	tenant := f.edge.Table().Tenant("a")
	over := &wire.RoomStanding{Asked: 80, Share: 10, Room: 100, AgeMillis: 7}
	for _, test := range []struct {
		name     string
		standing *wire.RoomStanding
		wait     time.Duration
		left     time.Duration
		want     bool
	}{
		{"within its share", nil, 100 * time.Millisecond, 5 * time.Second, false},
		{"over its share", over, 100 * time.Millisecond, 5 * time.Second, true},
		{"over its share, without a wait", over, 0, 5 * time.Second, false},
		{"over its share, retry", over, 100 * time.Millisecond, 4 * time.Second, false},
		{"within its share, too late", nil, 900 * time.Millisecond, 5 * time.Second, true},
	} {
		c, recorder := testCall(t, f, tenant, test.left)
		c.setStanding(test.standing, true)
		got := c.rejectedByAdmission(&balance.Lease{Wait: test.wait, Slowness: 1})
		if got != test.want || got && recorder.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: rejected %t, status %d", test.name, got, recorder.Code)
		}
		if byShare := strings.Contains(recorder.Body.String(), "your share"); byShare != (got && test.standing != nil) {
			t.Errorf("%s: answered %s", test.name, recorder.Body)
		}
	}
}

// TestQueueCountsOverShareRejections checks a request that the queue rejects because its tenant is
// over its share: its answer gives that reason, and it is counted. A request that is rejected
// because it would be late is not counted.
func TestQueueCountsOverShareRejections(t *testing.T) {
	f := startTenants(t)
	tenant := f.edge.Table().Tenant("a")
	for _, reason := range []admission.Reason{admission.TooLate, admission.OverShare} {
		before := counterValues(t, f.edge.metrics.capacity)["sent_back 0"]
		c, recorder := testCall(t, f, tenant, 5*time.Second)
		c.rejectQueued(rejectionFrom(&admission.Decision{Result: admission.RetryLater, Reason: reason, RetryAfter: time.Second}))
		over := reason == admission.OverShare
		if more := counterValues(t, f.edge.metrics.capacity)["sent_back 0"] - before; (more == 1) != over || more > 1 {
			t.Errorf("%s: counted %g rejections", reason, more)
		}
		if strings.Contains(recorder.Body.String(), "your share") != over {
			t.Errorf("%s: answered %s", reason, recorder.Body)
		}
	}
}

// TestQueueEntryOfCall checks that a queue entry takes its values from tenant, route and
// standing. Its times are on the clock that includes suspensions.
func TestQueueEntryOfCall(t *testing.T) {
	f := startTenants(t)
	rank := 2
	tenant := &routetable.Tenant{Name: "a", Rank: &rank}
	c, _ := testCall(t, f, tenant, 5*time.Second)
	c.setStanding(&wire.RoomStanding{Share: 1}, true)
	arrived := c.bootDeadline.Add(c.arrived.Sub(c.deadline))
	if got := c.queueEntry(); got.Rank != 2 || !got.OverShare || got.Retried || !got.Arrived.Equal(arrived) || !got.GoalDeadline.Equal(arrived.Add(300*time.Millisecond)) || got.Deadline.After(c.bootDeadline) {
		t.Errorf("%+v", got)
	}
	c, _ = testCall(t, f, nil, 4*time.Second)
	got := c.queueEntry()
	if goalDeadline := got.GoalDeadline.Sub(got.Arrived); got.Rank != 0 || got.OverShare || !got.Retried || goalDeadline > -600*time.Millisecond || goalDeadline < -800*time.Millisecond {
		t.Errorf("%+v, goal deadline %s after arrival", got, goalDeadline)
	}
}

// TestStandingFallsBackToLastAnswers checks that a request uses earlier standings if the hub does
// not answer.
func TestStandingFallsBackToLastAnswers(t *testing.T) {
	f := startTenants(t)
	tenant := f.edge.Table().Tenant("a")
	for range 5 {
		c, _ := testCall(t, f, tenant, 5*time.Second)
		c.setStanding(&wire.RoomStanding{Share: 30}, true)
	}
	over := 0
	for range 100 {
		c, _ := testCall(t, f, tenant, 5*time.Second)
		c.setStanding(nil, false)
		if c.share.standing.OverShare && c.share.standing.Share == 3 && !c.share.answered {
			over++
		}
	}
	if over < 50 {
		t.Errorf("%d of 100 requests used the last answers, want at least 50", over)
	}
}
