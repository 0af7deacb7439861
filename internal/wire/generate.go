package wire

//msgp:limit arrays:65536 maps:65536

// Class tells online work from batch work.
type Class uint8

const (
	// Online work has a caller waiting for it.
	Online Class = iota
	// Batch work fills what online work leaves over.
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
	// AttemptID names this attempt; engines refuse a second start of it.
	AttemptID string `msg:"attempt"`
	Tenant    string `msg:"tenant"`
	Class     Class  `msg:"class"`
	// Rank orders work of one class: higher ranks go first.
	Rank      int    `msg:"rank"`
	Model     string `msg:"model"`
	Adapter   string `msg:"adapter"`
	Prompt    string `msg:"prompt"`
	MaxTokens int    `msg:"max_tokens"`
	// TimeLeftMillis is the time left until the request's deadline.
	TimeLeftMillis int64 `msg:"time_left"`
	// ContinueTokens and ContinueText are what an earlier attempt generated;
	// the answer goes on after them.
	ContinueTokens int    `msg:"continue_tokens"`
	ContinueText   string `msg:"continue_text"`
	// NotRepeatable forbids a second start once a byte has left for an engine.
	NotRepeatable bool `msg:"not_repeatable"`
}

// ResumeRequest asks a dispatcher to go on reading the stream of an attempt
// that another dispatcher started. It starts nothing.
type ResumeRequest struct {
	RequestID      string `msg:"request"`
	AttemptID      string `msg:"attempt"`
	WorkerAddress  string `msg:"worker_address"`
	Offset         int    `msg:"offset"`
	TimeLeftMillis int64  `msg:"time_left"`
}

// FrameKind tells the frames of an answer apart.
type FrameKind uint8

const (
	// FrameStarted is sent once the attempt has been handed to an engine.
	FrameStarted FrameKind = iota
	// FrameTokens carries generated text.
	FrameTokens
	// FrameEnd is the explicit end of a whole answer.
	FrameEnd
	// FrameFailure ends an answer that did not become whole.
	FrameFailure
)

// GenerateFrame is one frame of the answer to a GenerateRequest. Frames of one
// attempt are numbered from zero without gaps.
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
	// Utilization is the dispatcher's load when the frame was sent, 0 to 255.
	Utilization uint8    `msg:"utilization"`
	Failure     *Failure `msg:"failure"`
}

// Failure carries a typed failure between processes.
type Failure struct {
	Kind             uint8  `msg:"kind"`
	Message          string `msg:"message"`
	Remedy           string `msg:"remedy"`
	Field            string `msg:"field"`
	RetryAfterMillis int64  `msg:"retry_after"`
}
