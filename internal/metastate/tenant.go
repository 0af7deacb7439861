package metastate

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/settings"
)

// TenantSpec is what a tenant may do, worked out from its template and values.
type TenantSpec struct {
	// Models and Adapters are the names that requests may use.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// OnlineRank and BatchRank order tenants' work within its class, 1 to 10.
	OnlineRank int `json:"online_rank"`
	BatchRank  int `json:"batch_rank"`
	// OnlineDeadline bounds an online request that names no deadline.
	OnlineDeadline settings.Duration `json:"online_deadline"`
	// BatchWindow is the deadline of jobs that name none.
	BatchWindow settings.Duration `json:"batch_window"`
	// RequestsPerSecond and Concurrency limit online requests over the fleet.
	RequestsPerSecond int `json:"requests_per_second"`
	Concurrency       int `json:"concurrency"`
	// MaxTokens bounds the answer to one request.
	MaxTokens int `json:"max_tokens"`
	// RunningJobs bounds the tenant's jobs that have not ended.
	RunningJobs int `json:"running_jobs"`
	// ReservePercent is the share of a worker's slots that batch work leaves
	// free for bursts: more protects the online tail, less raises throughput.
	ReservePercent int `json:"reserve_percent"`
}

const (
	typeInteger    = "integer"
	typeDuration   = "duration"
	typeStringList = "string_list"
)

var parameterTypes = map[string]string{
	"models":              typeStringList,
	"adapters":            typeStringList,
	"online_rank":         typeInteger,
	"batch_rank":          typeInteger,
	"online_deadline":     typeDuration,
	"batch_window":        typeDuration,
	"requests_per_second": typeInteger,
	"concurrency":         typeInteger,
	"max_tokens":          typeInteger,
	"running_jobs":        typeInteger,
	"reserve_percent":     typeInteger,
}

// DefaultTenantSpec returns the values of parameters that no template sets.
func DefaultTenantSpec() TenantSpec {
	return TenantSpec{
		OnlineRank:        5,
		BatchRank:         5,
		OnlineDeadline:    settings.Duration(30 * time.Second),
		BatchWindow:       settings.Duration(24 * time.Hour),
		RequestsPerSecond: 100,
		Concurrency:       100,
		MaxTokens:         4096,
		RunningJobs:       100,
		ReservePercent:    10,
	}
}

// Resolve works out the specification of a tenant.
func Resolve(path string, template *Template, tenant *Tenant) (TenantSpec, error) {
	return resolve(path, template, tenant.Values, false)
}

// resolve merges defaults and values; with draft set, required values may lack.
func resolve(path string, template *Template, values map[string]json.RawMessage, draft bool) (TenantSpec, error) {
	for _, name := range sortedNames(values) {
		parameter, declared := template.Parameters[name]
		valuePath := path + ".values." + name
		if !declared || parameter.Fixed {
			return TenantSpec{}, invalid(valuePath, "leave it out or change the template", "the template does not let tenants set %q", name)
		}
		if err := parameter.checkValue(valuePath, name, values[name]); err != nil {
			return TenantSpec{}, err
		}
	}
	merged := map[string]json.RawMessage{}
	for name, parameter := range template.Parameters {
		value, given := values[name]
		switch {
		case given:
			merged[name] = value
		case parameter.Required && !draft:
			return TenantSpec{}, invalid(path+".values."+name, "give it a value", "the template requires %q", name)
		case parameter.Default != nil:
			merged[name] = parameter.Default
		}
	}
	encoded, err := json.Marshal(merged)
	if err != nil {
		return TenantSpec{}, invalid(path, "check the values' JSON", "the values do not encode: %v", err)
	}
	spec := DefaultTenantSpec()
	if err := decodeStrict(encoded, &spec); err != nil {
		return TenantSpec{}, invalid(path, "check the values' types", "the values do not fit: %v", err)
	}
	return spec, spec.check(path)
}

// integerBounds are the system's own bounds, whatever a template says.
type integerBounds struct{ minimum, maximum int }

const (
	maxRank        = 10
	maxRate        = 100_000
	maxConcurrency = 100_000
	maxAnswer      = 1 << 20
	maxJobs        = 10_000
	maxReserve     = 90
)

func (s *TenantSpec) check(path string) error {
	checks := []struct {
		name   string
		value  int
		bounds integerBounds
	}{
		{"online_rank", s.OnlineRank, integerBounds{1, maxRank}},
		{"batch_rank", s.BatchRank, integerBounds{1, maxRank}},
		{"requests_per_second", s.RequestsPerSecond, integerBounds{1, maxRate}},
		{"concurrency", s.Concurrency, integerBounds{1, maxConcurrency}},
		{"max_tokens", s.MaxTokens, integerBounds{1, maxAnswer}},
		{"running_jobs", s.RunningJobs, integerBounds{0, maxJobs}},
		{"reserve_percent", s.ReservePercent, integerBounds{0, maxReserve}},
	}
	for _, check := range checks {
		if check.value < check.bounds.minimum || check.value > check.bounds.maximum {
			return invalid(path+"."+check.name, "choose a value in the range", "%d is not from %d to %d", check.value, check.bounds.minimum, check.bounds.maximum)
		}
	}
	if s.OnlineDeadline <= 0 || s.BatchWindow <= 0 {
		return invalid(path, "choose durations above zero", "online_deadline and batch_window must be positive")
	}
	return nil
}

func (p Parameter) checkValue(path, name string, value json.RawMessage) error {
	switch parameterTypes[name] {
	case typeStringList:
		return p.checkList(path, value)
	case typeDuration:
		return checkBounds(path, value, p.Minimum, p.Maximum, "a duration such as 30s", func(raw json.RawMessage) (float64, error) {
			duration, err := ParseDuration(raw)
			return float64(duration), err
		})
	}
	return checkBounds(path, value, p.Minimum, p.Maximum, "a whole number", func(raw json.RawMessage) (float64, error) {
		var number int
		err := json.Unmarshal(raw, &number)
		return float64(number), err
	})
}

func (p Parameter) checkList(path string, value json.RawMessage) error {
	var list []string
	if err := json.Unmarshal(value, &list); err != nil {
		return invalid(path, "give a list of names", "%s is not a list of names", value)
	}
	for _, entry := range list {
		if len(p.Allowed) > 0 && !slices.Contains(p.Allowed, entry) {
			return invalid(path, "use one of: "+strings.Join(p.Allowed, ", "), "%q is not allowed", entry)
		}
	}
	return nil
}

func checkBounds(path string, value, minimum, maximum json.RawMessage, shape string, parse func(json.RawMessage) (float64, error)) error {
	parsed, err := parse(value)
	if err != nil {
		return invalid(path, "give "+shape, "%s is not %s", value, shape)
	}
	for _, bound := range []struct {
		raw  json.RawMessage
		sign float64
		word string
	}{{minimum, 1, "minimum"}, {maximum, -1, "maximum"}} {
		if bound.raw == nil {
			continue
		}
		limit, err := parse(bound.raw)
		if err != nil {
			return invalid(path, "give "+shape, "the %s %s is not %s", bound.word, bound.raw, shape)
		}
		if (parsed-limit)*bound.sign < 0 {
			return invalid(path, "choose a value in the range", "%s is beyond the %s %s", value, bound.word, bound.raw)
		}
	}
	return nil
}

func sortedNames[Value any](from map[string]Value) []string {
	names := make([]string, 0, len(from))
	for name := range from {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func parameterNames() string { return strings.Join(sortedNames(parameterTypes), ", ") }
