// Package routetable holds the configuration of pools and routes for opaque
// requests, checks it, and finds the route of a request. It is pure.
package routetable

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Kind says what may be done with the requests of a route.
type Kind string

const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce Kind = "once"
	// KindStream requests are answered by a series of events.
	KindStream Kind = "stream"
	// KindBatch routes take jobs.
	KindBatch Kind = "batch"
)

// Configuration is a whole configuration. The one with the highest version is
// in force.
type Configuration struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	Limits  Limits  `json:"limits"`
	// Tenants lists those who may send requests; without any, everybody may.
	Tenants []Tenant `json:"tenants,omitempty"`
}

// Route leads the requests of a host and path prefix to pools of workers.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// Resumable streams may go on at another worker after their last event.
	Resumable bool `json:"resumable"`
	// TimeoutMillis is how long a request may be held.
	TimeoutMillis int64 `json:"timeout_ms"`
	// GoalMillis is the time to the first event or the answer that is aimed at,
	// GapGoalMillis the longest pause between events.
	GoalMillis    int64 `json:"goal_ms"`
	GapGoalMillis int64 `json:"gap_goal_ms"`
	// Rank orders routes: 0 goes first.
	Rank int `json:"rank"`
	// Floor is the part of scarce room, from 0 to 1, that is kept for requests of the
	// route's rank when they ask for it, whatever those of earlier ranks ask for. Floors of
	// routes of one rank add up.
	Floor float64 `json:"floor,omitempty"`
	// MaxAttempts is to how many workers one request may be sent.
	MaxAttempts int          `json:"max_attempts"`
	Parts       []PoolWeight `json:"parts"`
	// RunGoalMillis, RetainMillis and MaxQueuedTokens are those of batch
	// routes: when results are due, when an item may be given up, and how many
	// tokens of one tenant may wait (zero means no limit).
	RunGoalMillis   int64 `json:"run_goal_ms"`
	RetainMillis    int64 `json:"retain_ms"`
	MaxQueuedTokens int64 `json:"max_queued_tokens"`
	// Public routes take requests without a key.
	Public bool `json:"public,omitempty"`
}

// PoolWeight is a part of a route's requests.
type PoolWeight struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Pool is a named set of workers.
type Pool struct {
	Name string `json:"name"`
	// MaxConnections bounds the connections to one worker of all callers
	// together; zero means no bound.
	MaxConnections int `json:"max_connections"`
	// Slots is how many requests a worker runs at once, MemoryTokens how many
	// tokens it holds; zero means unknown.
	Slots        int   `json:"slots"`
	MemoryTokens int64 `json:"memory_tokens"`
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes"`
	MaxBodyBytes        int64 `json:"max_body_bytes"`
	HeaderTimeoutMillis int64 `json:"header_timeout_ms"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_ms"`
}

// Idempotent reports whether a request may be started a second time.
func (r *Route) Idempotent() bool {
	return r.Kind == KindRepeatable || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// Timeout returns how long a request may be held.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// GapGoal returns the longest pause between events that is aimed at.
func (r *Route) GapGoal() time.Duration { return time.Duration(r.GapGoalMillis) * time.Millisecond }

// Goal returns the time to the first event that is aimed at.
func (r *Route) Goal() time.Duration { return time.Duration(r.GoalMillis) * time.Millisecond }

// Check returns the first fault of the configuration, or nil.
func (c *Configuration) Check() error {
	pools := map[string]bool{}
	for i := range c.Pools {
		name := c.Pools[i].Name
		if name == "" || pools[name] {
			return fault(fmt.Sprintf("pools.%d.name", i), "give every pool a name of its own", "%q is empty or stands twice", name)
		}
		pools[name] = true
	}
	places := map[string]bool{}
	floors := 0.0
	for i := range c.Routes {
		if err := c.Routes[i].check(fmt.Sprintf("routes.%d", i), pools); err != nil {
			return err
		}
		place := c.Routes[i].place()
		if places[place] {
			return fault(fmt.Sprintf("routes.%d", i), "give every route a host and prefix of its own", "another route has the same place %s", place)
		}
		places[place] = true
		if floors += c.Routes[i].Floor; floors > wholeRoom {
			return fault(fmt.Sprintf("routes.%d.floor", i), "let the floors of all routes add up to 1 at most", "they add up to %g", floors)
		}
	}
	return c.checkTenants()
}

func (r *Route) place() string { return strings.ToLower(r.Host) + r.PathPrefix }

func (r *Route) check(path string, pools map[string]bool) error {
	switch r.Kind {
	case KindRepeatable, KindAtMostOnce, KindStream, KindBatch:
	default:
		return fault(path+".kind", "use repeatable, once, stream or batch", "there is no kind %q", r.Kind)
	}
	if r.Host == "" {
		return fault(path+".host", "name the host", "the host is empty")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fault(path+".path_prefix", "begin and end the prefix with a slash", "%q is no prefix", r.PathPrefix)
	}
	if r.TimeoutMillis <= 0 {
		return fault(path+".timeout_ms", "use 1 or more", "%d is no time-out", r.TimeoutMillis)
	}
	if !isPart(r.Floor) {
		return fault(path+".floor", "use a part of the room, from 0 to 1", "%g is no part", r.Floor)
	}
	total := 0
	for i, part := range r.Parts {
		if !pools[part.Pool] {
			return fault(fmt.Sprintf("%s.parts.%d.pool", path, i), "name a pool of the same configuration", "there is no pool %q", part.Pool)
		}
		if part.Weight < 0 {
			return fault(fmt.Sprintf("%s.parts.%d.weight", path, i), "use 0 or more", "%d is no weight", part.Weight)
		}
		total += part.Weight
	}
	if total == 0 {
		return fault(path+".parts", "give at least one part a weight over 0", "the weights add up to 0")
	}
	return nil
}

func fault(path, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadRequest, remedy, format, arguments...).WithField(path)
}

// Encode returns the configuration as it is stored and sent.
func (c *Configuration) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads an encoded configuration.
func Decode(document []byte) (*Configuration, error) {
	configuration := &Configuration{}
	if err := json.Unmarshal(document, configuration); err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "send a whole configuration as JSON", "the configuration does not decode")
	}
	return configuration, nil
}
