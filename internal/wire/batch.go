package wire

//msgp:limit arrays:1048576 maps:65536

// BatchCommand is a command of the batch group's log. One field is set, or both Save and Record:
// Submit accepts a job, Record records results, End ends a job, and Forget removes a job from the
// store. Save saves the progress of items, from which another store may continue them; a build that
// doesn't know Save starts them anew. Builds before Save used Record for progress, too.
type BatchCommand struct {
	Submit *SubmitBatch `msg:"submit"`
	Record *RecordItems `msg:"record"`
	End    *BatchName   `msg:"end"`
	Forget *BatchName   `msg:"forget"`
	Save   *RecordItems `msg:"save,omitempty"`
}

// SubmitBatch submits a job of opaque items.
type SubmitBatch struct {
	ID string `msg:"id"`
	// Route and Host identify the route against whose quota the job counts.
	Route string `msg:"route"`
	Host  string `msg:"host"`
	// Owner is the tenant that the job belongs to, empty for none.
	Owner string `msg:"owner"`
	// Limit is the maximum number of the owner's tokens that may wait on the route; zero
	// means no limit.
	Limit int64       `msg:"limit"`
	Items []BatchItem `msg:"items"`
	// Accepted is the version of the configuration under which an edge accepted the job, zero if
	// unknown: builds before this field send none.
	Accepted uint64 `msg:"accepted_version,omitempty"`
}

// BatchItem is one request of a job.
type BatchItem struct {
	ID      string        `msg:"id"`
	Path    string        `msg:"path"`
	Headers []HeaderField `msg:"headers"`
	Body    []byte        `msg:"body,limit=33554432"`
	// Tokens is the number of prompt tokens plus the maximum number of generated tokens.
	Tokens int64 `msg:"tokens"`
	// Expected is the number of tokens that the caller expects to be generated, zero if
	// unknown.
	Expected int64 `msg:"expected"`
}

// HeaderField is one header of an opaque request.
type HeaderField struct {
	Name  string `msg:"name"`
	Value string `msg:"value"`
}

// ItemState is the state of an item.
type ItemState uint8

const (
	// ItemWaiting is an item without a result so far.
	ItemWaiting ItemState = iota
	// ItemCompleted is an item with its complete text.
	ItemCompleted
	// ItemAbandoned is an item that will not be run again.
	ItemAbandoned
)

// String returns the state as used in responses to callers and in logs.
func (s ItemState) String() string {
	names := [...]string{"waiting", "completed", "abandoned"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// RecordItems records the progress and results of several items.
type RecordItems struct {
	Items []ItemRecord `msg:"items"`
}

// ItemRecord is the progress or the result of one item since its previous record.
type ItemRecord struct {
	Job   string    `msg:"job"`
	Item  int       `msg:"item"`
	State ItemState `msg:"state"`
	// Text is the item's text after its first From events. If there is text before it, Text begins
	// with the line feed that separates them. Events is the number of the item's events, including
	// the events of Text. LastEvent is the id of the last event.
	From      int    `msg:"from"`
	Text      string `msg:"text,limit=33554432"`
	Events    int    `msg:"events"`
	LastEvent int64  `msg:"last_event"`
	// Failures is the number of failed attempts.
	Failures int `msg:"failures"`
	// Chain identifies a sequence of runs of the item at one store, each of which continues
	// where the previous one stopped. Opens is set in the first record of a chain: the
	// chain's first run continues from the progress that was in the log.
	Chain uint64 `msg:"chain"`
	Opens bool   `msg:"opens"`
	// Version is the software version of the workers that wrote the text, in records of progress.
	// Restarts is set in the first record of a chain that began at the item's first event again: the
	// text replaces the one in the log.
	Version  string `msg:"version,omitempty"`
	Restarts bool   `msg:"restarts,omitempty"`
}

// BatchName names a job.
type BatchName struct {
	ID string `msg:"id"`
}

// BatchResult is the response to a BatchCommand.
type BatchResult struct {
	Failure *Failure `msg:"failure"`
	// Repeated is set if the job had been accepted before.
	Repeated bool `msg:"repeated"`
	// Dropped lists the indexes of the command's records that were not applied, because they do not
	// continue from the progress in the log or came too late.
	Dropped []int `msg:"dropped"`
}

// BatchMeta is the stored record of a job. Ended is set once the job has ended; Order is its
// sequence number in the order of acceptance.
type BatchMeta struct {
	ID    string          `msg:"id"`
	Route string          `msg:"route"`
	Host  string          `msg:"host"`
	Owner string          `msg:"owner"`
	Ended bool            `msg:"ended"`
	Order uint64          `msg:"order"`
	Items []BatchItemMeta `msg:"items"`
	// Accepted is SubmitBatch.Accepted.
	Accepted uint64 `msg:"accepted_version,omitempty"`
}

// BatchItemMeta is the part of an item that is kept in memory.
type BatchItemMeta struct {
	ID       string `msg:"id"`
	Tokens   int64  `msg:"tokens"`
	Expected int64  `msg:"expected"`
}

// ItemContent is the stored request of an item.
type ItemContent struct {
	Path    string        `msg:"path"`
	Headers []HeaderField `msg:"headers"`
	Body    []byte        `msg:"body,limit=33554432"`
}

// BatchReadRequest asks for the results of a job from position Since on.
type BatchReadRequest struct {
	ID    string `msg:"id"`
	Since int    `msg:"since"`
	// WaitMillis is how long the call may wait for a result.
	WaitMillis int64 `msg:"wait_millis"`
	// MaxBytes limits the total size of the response's texts. The response holds at least one
	// result if there is any.
	MaxBytes int `msg:"max_bytes"`
}

// BatchReadResponse holds results in the order of their positions. Total is the number of
// the job's items.
type BatchReadResponse struct {
	Total   int              `msg:"total"`
	Results []BatchResultRow `msg:"results"`
}

// BatchResultRow is the result at one position.
type BatchResultRow struct {
	ID    string    `msg:"id"`
	State ItemState `msg:"state"`
	Text  string    `msg:"text,limit=33554432"`
}

// ItemBodyRequest asks for the body of an item without a result.
type ItemBodyRequest struct {
	Job  string `msg:"job"`
	Item string `msg:"item"`
}

// ItemBody is the body of an item.
type ItemBody struct {
	Body []byte `msg:"body,limit=33554432"`
}

// ReplicaIndexRequest asks the leader of a store group for its position in the group's log.
type ReplicaIndexRequest struct {
	Group int `msg:"group"`
}

// ReplicaIndex is the position of a replica in its group's log.
type ReplicaIndex struct {
	Index uint64 `msg:"index"`
}
