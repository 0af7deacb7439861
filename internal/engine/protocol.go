// Package engine is the client of the published protocol of language-model engines: JSON
// requests, streams of server-sent events, load reports, cache events and fenced orders.
package engine

// Paths of the engines' protocol.
const (
	PathGenerate = "/v1/generate"
	PathStreams  = "/v1/streams"
	PathCancel   = "/v1/cancel"
	PathLoad     = "/v1/load"
	PathEvents   = "/v1/cache/events"
	PathOrders   = "/v1/orders"
	PathCache    = "/v1/cache/entries"
)

// Priorities of attempts; engines start higher priorities first.
const (
	PriorityBatch  = 0
	PriorityOnline = 100
)

// GenerateRequest starts an attempt.
type GenerateRequest struct {
	AttemptID string `json:"attempt_id"`
	Epoch     uint64 `json:"epoch"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// ContinueTokens and ContinueText are the tokens and text that an earlier attempt
	// generated; the engine continues after them. MaxTokens limits the whole answer,
	// including them.
	ContinueTokens int    `json:"continue_tokens,omitempty"`
	ContinueText   string `json:"continue_text,omitempty"`
}

// Event types of a stream.
const (
	EventTokens = "tokens"
	EventEnd    = "end"
	EventError  = "error"
)

// Event is one event of an attempt's stream.
type Event struct {
	Type      string `json:"type"`
	AttemptID string `json:"attempt_id"`
	// Offset is the number of tokens of the whole answer before this event.
	Offset       int    `json:"offset"`
	Tokens       int    `json:"tokens,omitempty"`
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	Code         string `json:"code,omitempty"`
	Message      string `json:"message,omitempty"`
}

// Error codes. All but CodeStopped, CodeUnknownAttempt and CodeDuplicateAttempt mean that the attempt was
// rejected before it started. CodeDuplicateAttempt means that an attempt of the same id has started.
const (
	CodeStaleEpoch       = "stale_epoch"
	CodeUnknownModel     = "unknown_model"
	CodeLeaving          = "leaving"
	CodeSaturated        = "saturated"
	CodeDuplicateAttempt = "duplicate_attempt"
	CodeInvalid          = "invalid"
	CodeStopped          = "stopped"
	CodeUnknownAttempt   = "unknown_attempt"
	CodeBusy             = "busy"
)

// ErrorBody is the response body of a rejected call.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Epoch is the engine's current epoch if the code is CodeStaleEpoch.
	Epoch uint64 `json:"epoch,omitempty"`
}

// CancelRequest stops an attempt. Cancelling an unknown attempt is not an error.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Load is an engine's load report. It was measured at MeasuredAtMS and may be outdated.
type Load struct {
	Worker        string   `json:"worker"`
	Incarnation   uint64   `json:"incarnation"`
	Epoch         uint64   `json:"epoch"`
	Leaving       bool     `json:"leaving"`
	Slots         int      `json:"slots"`
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	KVTokens      int      `json:"kv_tokens"`
	KVUsed        int      `json:"kv_used"`
	BlockTokens   int      `json:"block_tokens"`
	Models        []string `json:"models"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`
	MeasuredAtMS  int64    `json:"measured_at_ms"`
	EventSequence uint64   `json:"event_sequence"`
}

// Kinds of fenced orders.
const (
	OrderOwn         = "own"
	OrderLoadModel   = "load_model"
	OrderUnloadModel = "unload_model"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
	OrderLeave       = "leave"
)

// Order is a fenced order. An engine rejects an order whose epoch is below the highest epoch that
// it has seen, and adopts a higher epoch.
type Order struct {
	Epoch uint64 `json:"epoch"`
	Kind  string `json:"kind"`
	Owner string `json:"owner,omitempty"`
	Name  string `json:"name,omitempty"`
}

// CacheEvent reports that a block of prompt tokens entered or left the prefix cache.
// Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEntry is an exported chain of cached blocks.
type CacheEntry struct {
	Blocks []uint64 `json:"blocks"`
}
