// Package httpheader defines the HTTP header names of opaque requests that callers and workers use,
// so that no other package depends on them.
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

// Names holds header names in canonical form, and the names needed to read worker reports.
type Names struct {
	// RequestID carries the request id, which workers echo.
	RequestID string
	// Deadline carries the time left in milliseconds.
	Deadline string
	// ExpectWorker carries the id of the only worker that may run the request.
	ExpectWorker string
	// WorkerID carries the id of the worker in the answer to a health check.
	WorkerID string
	// NotRun marks a response of a worker that did not run the request.
	NotRun string
	// LastEvent carries the id of the last event that was received of a stream.
	LastEvent string
	// Resumes carries, in a request that takes up a stream, the id of the request that brought its
	// first event.
	Resumes string
	// Load carries the load that a worker reports, see capacity.Report: running, waiting, slots and
	// pace, separated by commas. The last two are optional.
	Load string
	// PromptParts lists the parts of the prompt as ID:TOKENS, separated by commas.
	PromptParts string
	// Tokens carries the number of prompt tokens and the maximum number of output tokens, separated
	// by a comma.
	Tokens string
	// LengthHint carries the number of output tokens that the caller expects.
	LengthHint string
	// Key carries the caller's key, which is not forwarded to workers.
	Key string
	// Tenant tells workers which tenant a request belongs to. A value sent by the caller is
	// dropped.
	Tenant string
	// ReportPath is the path at which a worker returns its report, empty if there is none.
	// StartTimeField is the field of the report with the start time in Unix milliseconds.
	ReportPath     string
	StartTimeField string
}

// ParseStartTime returns the start time in a worker's report, in Unix milliseconds, or zero if it
// is missing or not a whole number of 0 or more.
func (n *Names) ParseStartTime(report []byte) int64 {
	var fields map[string]json.RawMessage
	if json.Unmarshal(report, &fields) != nil {
		return 0
	}
	startTime, err := strconv.ParseInt(string(fields[n.StartTimeField]), 10, 64)
	if err != nil || startTime < 0 {
		return 0
	}
	return startTime
}

// Default returns this project's own header names.
func Default() *Names {
	return &Names{
		RequestID:    "Sedgemast-Request-Id",
		Deadline:     "Sedgemast-Deadline-Ms",
		ExpectWorker: "Sedgemast-Expect-Worker",
		WorkerID:     "Sedgemast-Worker",
		NotRun:       "Sedgemast-Not-Run",
		LastEvent:    "Last-Event-Id",
		Resumes:      "Sedgemast-Resumes",
		Load:         "Sedgemast-Load",
		PromptParts:  "Sedgemast-Prompt-Parts",
		Tokens:       "Sedgemast-Tokens",
		LengthHint:   "Sedgemast-Length-Hint",
		Key:          "Sedgemast-Key",
		Tenant:       "Sedgemast-Tenant",
	}
}

// Part is a part of a prompt, with its number of tokens.
type Part struct {
	ID     string
	Tokens int64
}

// ParseParts parses the parts of a prompt. Parsing stops at the first invalid part.
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

// PartIDs returns the ids of the parts in order.
func PartIDs(parts []Part) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

// ParseTokenCounts parses the number of prompt tokens and the maximum number of output tokens. A
// missing count is zero.
func ParseTokenCounts(value string) (prompt, maxOutput int64) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	maxOutput, _ = strconv.ParseInt(strings.TrimSpace(second), 10, 64)
	return prompt, maxOutput
}

// ParseExpected parses the number of output tokens that the caller expects, limited to maxTokens if
// that is positive. It returns zero if the hint is missing or invalid.
func ParseExpected(hint string, maxTokens int64) int64 {
	expected, err := strconv.ParseInt(strings.TrimSpace(hint), 10, 64)
	if err != nil || expected <= 0 {
		return 0
	}
	if maxTokens > 0 {
		return min(expected, maxTokens)
	}
	return expected
}

// ParseTimeLeft parses a deadline header. The result is at most maxTimeLeft, and maxTimeLeft if the
// header is missing or invalid.
func ParseTimeLeft(value string, maxTimeLeft time.Duration) time.Duration {
	millis, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil || millis < 0 {
		return maxTimeLeft
	}
	return min(maxTimeLeft, time.Duration(millis)*time.Millisecond)
}

// ParseLoad parses the load that a worker reports. found is false unless the numbers of running and
// waiting requests are valid. Slots and pace are zero if they are missing or not positive whole
// numbers.
func ParseLoad(value string) (report capacity.Report, found bool) {
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
	return capacity.Report{Running: running, Waiting: waiting, Slots: parsePositive(fields, 2), Pace: parsePositive(fields, 3)}, true
}

// maxReported is the largest value accepted for the slots and the pace that a worker reports;
// larger values are reduced to it.
const maxReported = math.MaxUint16

// parsePositive parses the field at the index. It returns zero if the field is missing or not a
// positive whole number.
func parsePositive(fields []string, index int) int {
	if index >= len(fields) {
		return 0
	}
	number, err := strconv.Atoi(strings.TrimSpace(fields[index]))
	if err != nil || number < 0 {
		return 0
	}
	return min(number, maxReported)
}

// hopByHop holds headers that apply to a single connection only (RFC 9110, 7.6.1).
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

// Forwardable returns the headers to forward: all except hop-by-hop headers and those that the
// Connection header names.
func Forwardable(header http.Header) []wire.HeaderField {
	connectionHeaders := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]wire.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHop[name] || connectionHeaders[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, wire.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// ForTenant returns the headers that a worker receives for a request of the tenant: without the
// key, and with the tenant's name instead of any value from the caller. Without a tenant, the
// Tenant header is left out.
func (n *Names) ForTenant(fields []wire.HeaderField, tenant tenancy.Name) []wire.HeaderField {
	forwarded := make([]wire.HeaderField, 0, len(fields)+1)
	for _, field := range fields {
		switch http.CanonicalHeaderKey(field.Name) {
		case n.Key, n.Tenant:
		default:
			forwarded = append(forwarded, field)
		}
	}
	if tenant != "" {
		forwarded = append(forwarded, wire.HeaderField{Name: n.Tenant, Value: string(tenant)})
	}
	return forwarded
}

// Value returns the first value of a header, or an empty string; name must be in canonical form.
func Value(fields []wire.HeaderField, name string) string {
	for _, field := range fields {
		if http.CanonicalHeaderKey(field.Name) == name {
			return field.Value
		}
	}
	return ""
}
