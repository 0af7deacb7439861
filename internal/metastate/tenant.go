package metastate

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/settings"
)

// TenantSpec holds a tenant's limits and defaults, resolved from its template and values.
type TenantSpec struct {
	// Models and Adapters are the names that requests may use.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// OnlineRank and BatchRank order the tenant's online and batch work relative to other work of the
	// same class, from 1 to 10.
	OnlineRank int `json:"online_rank"`
	BatchRank  int `json:"batch_rank"`
	// OnlineDeadline is the time limit of online requests that set none.
	OnlineDeadline settings.Duration `json:"online_deadline"`
	// BatchWindow is the time limit of jobs that set none.
	BatchWindow settings.Duration `json:"batch_window"`
	// RequestsPerSecond and Concurrency limit the tenant's online requests in the whole fleet.
	RequestsPerSecond int `json:"requests_per_second"`
	Concurrency       int `json:"concurrency"`
	// MaxTokens bounds the number of generated tokens of a request.
	MaxTokens int `json:"max_tokens"`
	// RunningJobs bounds the number of the tenant's running jobs.
	RunningJobs int `json:"running_jobs"`
	// ReservePercent is the share of a worker's slots that batch work leaves free for bursts of
	// online requests. A higher share lowers their tail latency, a lower one raises batch
	// throughput.
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

// DefaultTenantSpec returns the values of parameters for which neither the template nor the tenant
// sets one.
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

// Resolve returns the specification of a tenant. Errors name the fields below path.
func Resolve(path string, template *Template, tenant *Tenant) (TenantSpec, error) {
	return resolve(path, template, tenant.Values, false)
}

// resolve merges the template's defaults with values. With allowMissing set, required values may be
// missing, as when a template is checked by itself.
func resolve(path string, template *Template, values map[string]json.RawMessage, allowMissing bool) (TenantSpec, error) {
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
		case parameter.Required && !allowMissing:
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

// integerBounds bound a parameter's value for all templates.
type integerBounds struct{ minimum, maximum int }

const (
	maxRank              = 10
	maxRequestsPerSecond = 100_000
	maxConcurrency       = 100_000
	maxAnswerTokens      = 1 << 20
	maxRunningJobs       = 10_000
	maxReservePercent    = 90
)

func (s *TenantSpec) check(path string) error {
	checks := []struct {
		name   string
		value  int
		bounds integerBounds
	}{
		{"online_rank", s.OnlineRank, integerBounds{1, maxRank}},
		{"batch_rank", s.BatchRank, integerBounds{1, maxRank}},
		{"requests_per_second", s.RequestsPerSecond, integerBounds{1, maxRequestsPerSecond}},
		{"concurrency", s.Concurrency, integerBounds{1, maxConcurrency}},
		{"max_tokens", s.MaxTokens, integerBounds{1, maxAnswerTokens}},
		{"running_jobs", s.RunningJobs, integerBounds{0, maxRunningJobs}},
		{"reserve_percent", s.ReservePercent, integerBounds{0, maxReservePercent}},
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

func checkBounds(path string, value, minimum, maximum json.RawMessage, expected string, parse func(json.RawMessage) (float64, error)) error {
	parsed, err := parse(value)
	if err != nil {
		return invalid(path, "give "+expected, "%s is not %s", value, expected)
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
			return invalid(path, "give "+expected, "the %s %s is not %s", bound.word, bound.raw, expected)
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
