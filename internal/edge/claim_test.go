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

// claimed returns the claims of a tenant and rank.
func (f *tenantFleet) claimed(tenant uint32, rank int32) int {
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

// reconfigure puts another configuration in force.
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
	await(t, "the new configuration", func() bool { return f.edge.Table().Configuration.Version == changed.Version })
}

// counted returns the counts by the values of their labels, in the order of their names.
func counted(t *testing.T, counters prometheus.Collector) map[string]float64 {
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

// TestClaimsAreAsked lets tenants with and without a limit, and a caller that is none, ask:
// each request claims room once, by its tenant's rank or else its route's, and what begins
// is counted.
func TestClaimsAreAsked(t *testing.T) {
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
		// The first ones may come before the hub is heard.
		await(t, "the claim of "+test.key, func() bool {
			var keys []string
			if test.key != "" {
				keys = []string{test.key}
			}
			f.call(t, http.MethodPost, test.host, "/x", "prompt", keys...)
			return f.claimed(test.tenant, test.rank) > 0
		})
		before := f.claimed(test.tenant, test.rank)
		f.call(t, http.MethodPost, test.host, "/x", "prompt", test.key)
		if got := f.claimed(test.tenant, test.rank); test.key != "" && got != before+1 {
			t.Errorf("%+v: %d claims of one request", test, got-before)
		}
	}
	want := f.edge.begun.Load()
	await(t, "the counts", func() bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return want >= 5 && f.begun == want && f.short == 0
	})
	if given := counted(t, f.edge.metrics.room)["given 3"]; given < 2 {
		t.Errorf("%g given to rank 3", given)
	}
}

// TestNothingIsClaimedWithoutTenants takes the tenants away: reports say nothing of room.
func TestNothingIsClaimedWithoutTenants(t *testing.T) {
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
	if len(f.claims) > 0 || f.begun+f.short > 0 {
		t.Errorf("%d claims, %d begun, %d short", len(f.claims), f.begun, f.short)
	}
	if counts := counted(t, f.edge.metrics.room); len(counts) > 0 {
		t.Errorf("counted %v", counts)
	}
}

// testCall returns a call of a tenant before its first attempt, on a route whose callers
// wait 5 s and whose first event takes 80 ms of a goal of 300 ms.
func testCall(t *testing.T, f *tenantFleet, tenant *routetable.Tenant, left time.Duration) (*call, *httptest.ResponseRecorder) {
	t.Helper()
	table := f.edge.Table()
	route := table.RouteByName("r")
	route.GoalMillis = 300
	f.edge.observe(route, func(known *admission.Route) {
		known.ObserveArrival(5 * time.Second)
		known.ObserveFirstEvent(80 * time.Millisecond)
	})
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/x", nil)
	now := time.Now()
	c := newCall(f.edge, context.Background(), table, route, tenant, recorder, http.NewResponseController(recorder), request, nil, now, now.Add(left))
	return c, recorder
}

// TestOverShareIsSentBack lets a request wait a little, and none: it is sent back only
// where its tenant is over its share, it waits, and has not been here before.
func TestOverShareIsSentBack(t *testing.T) {
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
		{"over its share, where there is room", over, 0, 5 * time.Second, false},
		{"over its share, back again", over, 100 * time.Millisecond, 4 * time.Second, false},
		{"within its share, too late", nil, 900 * time.Millisecond, 5 * time.Second, true},
	} {
		c, recorder := testCall(t, f, tenant, test.left)
		c.setStanding(test.standing, true)
		got := c.tooLate(&balance.Lease{Wait: test.wait, Slowness: 1})
		if got != test.want || got && recorder.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: sent back %t, status %d", test.name, got, recorder.Code)
		}
		if byShare := strings.Contains(recorder.Body.String(), "your share"); byShare != (got && test.standing != nil) {
			t.Errorf("%s: told %s", test.name, recorder.Body)
		}
	}
}

// TestOverShareIsCountedInTheQueue sends requests back through the queue: who is over its share
// is told so and counted, who would be late is not.
func TestOverShareIsCountedInTheQueue(t *testing.T) {
	f := startTenants(t)
	tenant := f.edge.Table().Tenant("a")
	for _, reason := range []admission.Reason{admission.TooLate, admission.OverShare} {
		before := counted(t, f.edge.metrics.room)["sent_back 0"]
		c, recorder := testCall(t, f, tenant, 5*time.Second)
		c.refuseQueued(refusalOf(&admission.Decision{Result: admission.RetryLater, Reason: reason, RetryAfter: time.Second}))
		over := reason == admission.OverShare
		if more := counted(t, f.edge.metrics.room)["sent_back 0"] - before; (more == 1) != over || more > 1 {
			t.Errorf("%s: %g were counted", reason, more)
		}
		if strings.Contains(recorder.Body.String(), "your share") != over {
			t.Errorf("%s: told %s", reason, recorder.Body)
		}
	}
}

// TestClaimOfACall fills a claim from tenant, route and standing. Its times are by the clock
// that counts suspensions.
func TestClaimOfACall(t *testing.T) {
	f := startTenants(t)
	rank := 2
	tenant := &routetable.Tenant{Name: "a", Rank: &rank}
	c, _ := testCall(t, f, tenant, 5*time.Second)
	c.setStanding(&wire.RoomStanding{Share: 1}, true)
	arrived := c.bootDeadline.Add(c.arrived.Sub(c.deadline))
	if got := c.claim(); got.Rank != 2 || !got.OverShare || got.Retried || !got.Arrived.Equal(arrived) || !got.GoalDeadline.Equal(arrived.Add(300*time.Millisecond)) || got.Deadline.After(c.bootDeadline) {
		t.Errorf("%+v", got)
	}
	c, _ = testCall(t, f, nil, 4*time.Second)
	got := c.claim()
	if due := got.GoalDeadline.Sub(got.Arrived); got.Rank != 0 || got.OverShare || !got.Retried || due > -600*time.Millisecond || due < -800*time.Millisecond {
		t.Errorf("%+v, due after %s", got, due)
	}
}

// TestStandingIsRecalled loses the hub's answer: the request goes by the last ones.
func TestStandingIsRecalled(t *testing.T) {
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
		if c.share.standing.OverShare && c.share.standing.Share == 3 && !c.share.told {
			over++
		}
	}
	if over < 50 {
		t.Errorf("%d of 100 go by the last answers", over)
	}
}
