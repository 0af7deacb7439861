// Package routetable validates the configuration of routes, pools and tenants for
// opaque requests, and looks up the route of a request. It does no I/O.
package routetable

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Kind says how often the requests of a route may run and how they are answered.
type Kind string

const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce Kind = "once"
	// KindStream requests are answered with a stream of events.
	KindStream Kind = "stream"
	// KindBatch routes accept batch jobs.
	KindBatch Kind = "batch"
)

// Configuration is a complete configuration. The one with the highest version is
// in force.
type Configuration struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	Limits  Limits  `json:"limits"`
	// Tenants lists the tenants that may send requests; if it is empty, anybody may.
	Tenants []Tenant `json:"tenants,omitempty"`
}

// Route sends the requests for a host and path prefix to pools of workers.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// Resumable streams may continue at another worker after the last event sent.
	Resumable bool `json:"resumable"`
	// TimeoutMillis is the maximum duration of a request.
	TimeoutMillis int64 `json:"timeout_ms"`
	// GoalMillis is the target for the time to the first event or the answer. GapGoalMillis is the
	// target for the longest gap between events.
	GoalMillis    int64 `json:"goal_ms"`
	GapGoalMillis int64 `json:"gap_goal_ms"`
	// Rank is the priority of the route's requests: lower ranks are served first.
	Rank int `json:"rank"`
	// Floor is the fraction of scarce capacity, from 0 to 1, that is reserved for requests
	// of the route's rank when they need it, whatever lower-numbered ranks demand. The floors
	// of routes of the same rank add up.
	Floor float64 `json:"floor,omitempty"`
	// MaxAttempts is the maximum number of workers that a request is sent to.
	MaxAttempts int          `json:"max_attempts"`
	Parts       []PoolWeight `json:"parts"`
	// RunGoalMillis, RetainMillis and MaxQueuedTokens apply to batch routes. RunGoalMillis is the
	// time in which results are due. RetainMillis is the time after which an item may be abandoned.
	// MaxQueuedTokens is how many tokens one tenant may have queued; zero means no limit.
	RunGoalMillis   int64 `json:"run_goal_ms"`
	RetainMillis    int64 `json:"retain_ms"`
	MaxQueuedTokens int64 `json:"max_queued_tokens"`
	// Public routes accept requests without a key.
	Public bool `json:"public,omitempty"`
}

// PoolWeight is the weight of a pool among the pools of a route.
type PoolWeight struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Pool is a named set of workers.
type Pool struct {
	Name string `json:"name"`
	// MaxConnections bounds the connections to one worker, over all callers; zero
	// means no bound.
	MaxConnections int `json:"max_connections"`
	// Slots is the number of requests that a worker runs at once. MemoryTokens is the number of
	// tokens that a worker holds in memory. Zero means unknown for both.
	Slots        int   `json:"slots"`
	MemoryTokens int64 `json:"memory_tokens"`
	// HealthPath is the path at which a worker answers 200 while it takes requests, /healthz if empty.
	HealthPath string `json:"health_path,omitempty"`
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes"`
	MaxBodyBytes        int64 `json:"max_body_bytes"`
	HeaderTimeoutMillis int64 `json:"header_timeout_ms"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_ms"`
}

// Idempotent reports whether a request of the route may be started a second time.
func (r *Route) Idempotent() bool {
	return r.Kind == KindRepeatable || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// Timeout returns the maximum duration of a request.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// GapGoal returns the target for the longest gap between events.
func (r *Route) GapGoal() time.Duration { return time.Duration(r.GapGoalMillis) * time.Millisecond }

// Goal returns the target for the time to the first event.
func (r *Route) Goal() time.Duration { return time.Duration(r.GoalMillis) * time.Millisecond }

// Check validates the configuration and returns the first error, which names the field.
func (c *Configuration) Check() error {
	pools := map[string]bool{}
	for i := range c.Pools {
		name := c.Pools[i].Name
		if name == "" || pools[name] {
			return fieldError(fmt.Sprintf("pools.%d.name", i), "give every pool a name of its own", "%q is empty or stands twice", name)
		}
		pools[name] = true
	}
	matchKeys := map[string]bool{}
	floors := 0.0
	for i := range c.Routes {
		if err := c.Routes[i].check(fmt.Sprintf("routes.%d", i), pools); err != nil {
			return err
		}
		matchKey := c.Routes[i].matchKey()
		if matchKeys[matchKey] {
			return fieldError(fmt.Sprintf("routes.%d", i), "give every route a host and prefix of its own", "another route has the same place %s", matchKey)
		}
		matchKeys[matchKey] = true
		if floors += c.Routes[i].Floor; floors > maxShareSum {
			return fieldError(fmt.Sprintf("routes.%d.floor", i), "let the floors of all routes add up to 1 at most", "they add up to %g", floors)
		}
	}
	return c.checkTenants()
}

// matchKey returns the host and path prefix that the route matches; it is unique among routes.
func (r *Route) matchKey() string { return strings.ToLower(r.Host) + r.PathPrefix }

func (r *Route) check(path string, pools map[string]bool) error {
	switch r.Kind {
	case KindRepeatable, KindAtMostOnce, KindStream, KindBatch:
	default:
		return fieldError(path+".kind", "use repeatable, once, stream or batch", "there is no kind %q", r.Kind)
	}
	if r.Host == "" {
		return fieldError(path+".host", "name the host", "the host is empty")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fieldError(path+".path_prefix", "begin and end the prefix with a slash", "%q is no prefix", r.PathPrefix)
	}
	if r.TimeoutMillis <= 0 {
		return fieldError(path+".timeout_ms", "use 1 or more", "%d is no time-out", r.TimeoutMillis)
	}
	if !isFraction(r.Floor) {
		return fieldError(path+".floor", "use a part of the room, from 0 to 1", "%g is no part", r.Floor)
	}
	total := 0
	for i, part := range r.Parts {
		if !pools[part.Pool] {
			return fieldError(fmt.Sprintf("%s.parts.%d.pool", path, i), "name a pool of the same configuration", "there is no pool %q", part.Pool)
		}
		if part.Weight < 0 {
			return fieldError(fmt.Sprintf("%s.parts.%d.weight", path, i), "use 0 or more", "%d is no weight", part.Weight)
		}
		total += part.Weight
	}
	if total == 0 {
		return fieldError(path+".parts", "give at least one part a weight over 0", "the weights add up to 0")
	}
	return nil
}

// fieldError returns a BadRequest failure for the field at the path, with the remedy.
func fieldError(path, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadRequest, remedy, format, arguments...).WithField(path)
}

// Encode returns the configuration as JSON, as it is stored and sent.
func (c *Configuration) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads an encoded configuration.
func Decode(document []byte) (*Configuration, error) {
	configuration := &Configuration{}
	if err := json.Unmarshal(document, configuration); err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "send a whole configuration as JSON", "the configuration does not decode")
	}
	return configuration, nil
}
