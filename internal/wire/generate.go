package wire

//msgp:limit arrays:65536 maps:65536

// Class distinguishes online work from batch work.
type Class uint8

const (
	// Online is work that a caller waits for.
	Online Class = iota
	// Batch is work that uses the capacity that online work leaves free.
	Batch
)

// String returns the class as used in logs and metric labels.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// GenerateRequest asks a dispatcher to run one attempt of a request.
type GenerateRequest struct {
	RequestID string `msg:"request"`
	// AttemptID identifies this attempt; engines reject a second start of it.
	AttemptID string `msg:"attempt"`
	Tenant    string `msg:"tenant"`
	Class     Class  `msg:"class"`
	// Rank orders work of one class: higher ranks run first.
	Rank      int    `msg:"rank"`
	Model     string `msg:"model"`
	Adapter   string `msg:"adapter"`
	Prompt    string `msg:"prompt"`
	MaxTokens int    `msg:"max_tokens"`
	// TimeLeftMillis is the time left until the request's deadline.
	TimeLeftMillis int64 `msg:"time_left"`
	// ContinueTokens and ContinueText are the tokens and text that an earlier attempt
	// generated; the answer continues after them.
	ContinueTokens int    `msg:"continue_tokens"`
	ContinueText   string `msg:"continue_text"`
	// ContinueVersion is the software version of the workers that generated this text. Only workers
	// of that version may continue it.
	ContinueVersion string `msg:"continue_version,omitempty"`
	// NotRepeatable forbids a second start once any byte has been sent to an engine.
	NotRepeatable bool `msg:"not_repeatable"`
}

// ResumeRequest asks a dispatcher to continue reading the stream of an attempt that another
// dispatcher started, from Offset in tokens. It does not start an attempt.
type ResumeRequest struct {
	RequestID      string `msg:"request"`
	AttemptID      string `msg:"attempt"`
	WorkerAddress  string `msg:"worker_address"`
	Offset         int    `msg:"offset"`
	TimeLeftMillis int64  `msg:"time_left"`
}

// FrameKind is the kind of a frame.
type FrameKind uint8

const (
	// FrameStarted is sent once the attempt has been handed to an engine.
	FrameStarted FrameKind = iota
	// FrameTokens carries generated text.
	FrameTokens
	// FrameEnd ends a complete answer.
	FrameEnd
	// FrameFailure ends an incomplete answer with a failure.
	FrameFailure
)

// GenerateFrame is one frame of the response to a GenerateRequest or ResumeRequest. The frames
// of one response are numbered from zero without gaps.
type GenerateFrame struct {
	AttemptID string    `msg:"attempt"`
	Kind      FrameKind `msg:"kind"`
	Sequence  uint32    `msg:"sequence"`
	// Offset is the number of tokens before this frame.
	Offset        int    `msg:"offset"`
	Tokens        int    `msg:"tokens"`
	Text          string `msg:"text"`
	FinishReason  string `msg:"finish_reason"`
	PromptTokens  int    `msg:"prompt_tokens"`
	Worker        string `msg:"worker"`
	WorkerAddress string `msg:"worker_address"`
	// WorkerVersion is the worker's software version.
	WorkerVersion string `msg:"worker_version,omitempty"`
	// Utilization is the dispatcher's utilization when the frame was sent, from 0 to 255.
	Utilization uint8    `msg:"utilization"`
	Failure     *Failure `msg:"failure"`
}

// Failure is a typed failure as a message, see package failure.
type Failure struct {
	Kind             uint8  `msg:"kind"`
	Message          string `msg:"message"`
	Remedy           string `msg:"remedy"`
	Field            string `msg:"field"`
	RetryAfterMillis int64  `msg:"retry_after"`
}
