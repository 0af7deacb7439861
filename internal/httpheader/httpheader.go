// Package dialect names the headers of opaque requests as callers and workers
// know them, so that nothing else in the product does.
package httpheader

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Names holds the names of headers, in canonical form.
type Names struct {
	// RequestID carries a request's id, which workers echo.
	RequestID string
	// Deadline carries how many milliseconds are left.
	Deadline string
	// ExpectWorker carries the id of the worker that alone may run a request.
	ExpectWorker string
	// NotRun marks a worker's answer that did not run the request.
	NotRun string
	// LastEvent carries the id of the last event received of a stream.
	LastEvent string
	// Load carries what a worker tells of itself: running, waiting, slots and pace,
	// separated by commas; the last two may be missing.
	Load string
	// PromptParts lists the parts of the prompt as ID:TOKENS, separated by
	// commas.
	PromptParts string
	// Tokens carries the tokens of the prompt and the most out, separated by a
	// comma.
	Tokens string
	// LengthHint carries how many tokens the caller expects to be made.
	LengthHint string
	// Key carries a caller's key, which goes no further than here.
	Key string
	// Tenant tells workers whose request it is. What callers send there counts for
	// nothing.
	Tenant string
	// ReportPath is the path at which a worker tells of itself, empty where there is none, and
	// Born the field with the Unix millisecond of its start.
	ReportPath     string
	StartTimeField string
}

// ParseStartTime returns when a worker started by what it tells of itself, zero where it does not
// tell, or tells something else than a whole number.
func (d *Names) ParseStartTime(report []byte) int64 {
	var fields map[string]json.RawMessage
	if json.Unmarshal(report, &fields) != nil {
		return 0
	}
	born, err := strconv.ParseInt(string(fields[d.StartTimeField]), 10, 64)
	if err != nil || born < 0 {
		return 0
	}
	return born
}

// Default is the product's own dialect.
func Default() *Names {
	return &Names{
		RequestID:    "Sedgemast-Request-Id",
		Deadline:     "Sedgemast-Deadline-Ms",
		ExpectWorker: "Sedgemast-Expect-Worker",
		NotRun:       "Sedgemast-Not-Run",
		LastEvent:    "Last-Event-Id",
		Load:         "Sedgemast-Load",
		PromptParts:  "Sedgemast-Prompt-Parts",
		Tokens:       "Sedgemast-Tokens",
		LengthHint:   "Sedgemast-Length-Hint",
		Key:          "Sedgemast-Key",
		Tenant:       "Sedgemast-Tenant",
	}
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// ParseParts reads the parts of a prompt; what does not parse ends the list.
func ParseParts(value string) []Part {
	var parts []Part
	for _, field := range strings.Split(value, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if !found || err != nil || id == "" {
			break
		}
		parts = append(parts, Part{ID: id, Tokens: tokens})
	}
	return parts
}

// ParseTokenCounts reads the tokens of the prompt and the most out; zero where they
// are not told.
func ParseTokenCounts(value string) (prompt, out int64) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	out, _ = strconv.ParseInt(strings.TrimSpace(second), 10, 64)
	return prompt, out
}

// ParseExpected reads how many tokens the caller expects to be made, of the most that may be:
// zero where that is not told.
func ParseExpected(hint string, most int64) int64 {
	expected, err := strconv.ParseInt(strings.TrimSpace(hint), 10, 64)
	if err != nil || expected <= 0 {
		return 0
	}
	if most > 0 {
		return min(expected, most)
	}
	return expected
}

// ParseTimeLeft reads a deadline header; without one it returns the longest time
// given.
func ParseTimeLeft(value string, longest time.Duration) time.Duration {
	millis, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil || millis < 0 {
		return longest
	}
	return min(longest, time.Duration(millis)*time.Millisecond)
}

// ParseLoad reads what a worker tells of itself. It reports whether it tells anything: the
// requests that it runs and those that wait at least. Slots and pace are zero where they are
// missing, or no positive whole number.
func ParseLoad(value string) (told capacity.Report, found bool) {
	fields := strings.Split(value, ",")
	if len(fields) < 2 {
		return capacity.Report{}, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	if err != nil || running < 0 {
		return capacity.Report{}, false
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil || waiting < 0 {
		return capacity.Report{}, false
	}
	return capacity.Report{Running: running, Waiting: waiting, Slots: positive(fields, 2), Pace: positive(fields, 3)}, true
}

// mostTold bounds what is believed of a figure that a worker tells.
const mostTold = math.MaxUint16

// positive returns a field as a positive whole number, zero where it is none.
func positive(fields []string, at int) int {
	if at >= len(fields) {
		return 0
	}
	number, err := strconv.Atoi(strings.TrimSpace(fields[at]))
	if err != nil || number < 0 {
		return 0
	}
	return min(number, mostTold)
}

// hopByHop are headers that pertain to one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// Forwardable returns the headers that are passed on, without those that the
// Connection header names.
func Forwardable(header http.Header) []wire.HeaderField {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]wire.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, wire.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// ForTenant returns the headers of a request of the tenant as a worker gets them: without
// any key, and with the tenant's name in place of what the caller said. A request that
// belongs to nobody names no tenant.
func (d *Names) ForTenant(fields []wire.HeaderField, tenant tenancy.Name) []wire.HeaderField {
	owned := make([]wire.HeaderField, 0, len(fields)+1)
	for _, field := range fields {
		switch http.CanonicalHeaderKey(field.Name) {
		case d.Key, d.Tenant:
		default:
			owned = append(owned, field)
		}
	}
	if tenant != "" {
		owned = append(owned, wire.HeaderField{Name: d.Tenant, Value: string(tenant)})
	}
	return owned
}

// Value returns the first value of a header, whose name is in canonical form.
func Value(fields []wire.HeaderField, name string) string {
	for _, field := range fields {
		if http.CanonicalHeaderKey(field.Name) == name {
			return field.Value
		}
	}
	return ""
}
