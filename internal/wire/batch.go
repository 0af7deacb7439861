package wire

//msgp:limit arrays:1048576 maps:65536

// BatchCommand is a command of the batch group's log. Exactly one field is set.
type BatchCommand struct {
	Submit *SubmitBatch `msg:"submit"`
	Record *RecordItems `msg:"record"`
	End    *BatchName   `msg:"end"`
	Forget *BatchName   `msg:"forget"`
}

// SubmitBatch hands in a job of opaque items.
type SubmitBatch struct {
	ID string `msg:"id"`
	// Route and Host say which route's quota it counts against.
	Route string `msg:"route"`
	Host  string `msg:"host"`
	// Owner is the tenant that the job belongs to, empty for nobody.
	Owner string `msg:"owner"`
	// Limit is how many tokens of the owner may wait on the route; zero means no
	// limit.
	Limit int64       `msg:"limit"`
	Items []BatchItem `msg:"items"`
}

// BatchItem is one request of a job.
type BatchItem struct {
	ID      string        `msg:"id"`
	Path    string        `msg:"path"`
	Headers []HeaderField `msg:"headers"`
	Body    []byte        `msg:"body,limit=33554432"`
	// Tokens are those of the prompt and the most that may be generated.
	Tokens int64 `msg:"tokens"`
	// Expected is how many tokens the caller expects to be generated, zero if unknown.
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
	// ItemWaiting has no result yet.
	ItemWaiting ItemState = iota
	// ItemCompleted has its whole text.
	ItemCompleted
	// ItemAbandoned will never be done.
	ItemAbandoned
)

// String returns the state as callers and logs see it.
func (s ItemState) String() string {
	names := [...]string{"waiting", "completed", "abandoned"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// RecordItems records progress and results, several at a time.
type RecordItems struct {
	Items []ItemRecord `msg:"items"`
}

// ItemRecord is the news of one item.
type ItemRecord struct {
	Job   string    `msg:"job"`
	Item  int       `msg:"item"`
	State ItemState `msg:"state"`
	// Text is the item's text after its first From events, with the line feed
	// that parts it from what came before. Events is how many events there are
	// with it, LastEvent the id of the last one.
	From      int    `msg:"from"`
	Text      string `msg:"text,limit=33554432"`
	Events    int    `msg:"events"`
	LastEvent int64  `msg:"last_event"`
	// Failures counts the attempts that failed.
	Failures int `msg:"failures"`
	// Chain names the runs that were made one after another in one place, each
	// from where the one before had come. Opens is set in the first record of a
	// chain, which goes on from what the log has.
	Chain uint64 `msg:"chain"`
	Opens bool   `msg:"opens"`
}

// BatchName names a job.
type BatchName struct {
	ID string `msg:"id"`
}

// BatchResult is the answer to a BatchCommand.
type BatchResult struct {
	Failure *Failure `msg:"failure"`
	// Repeated is set where a job had been accepted before.
	Repeated bool `msg:"repeated"`
	// Dropped lists, by number, the records of the command that were not taken
	// in: they don't follow on what the log has, or come too late.
	Dropped []int `msg:"dropped"`
}

// BatchMeta is the stored record of a job.
type BatchMeta struct {
	ID    string          `msg:"id"`
	Route string          `msg:"route"`
	Host  string          `msg:"host"`
	Owner string          `msg:"owner"`
	Ended bool            `msg:"ended"`
	Order uint64          `msg:"order"`
	Items []BatchItemMeta `msg:"items"`
}

// BatchItemMeta is what is kept in memory of an item.
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

// BatchReadRequest reads results from a position on.
type BatchReadRequest struct {
	ID    string `msg:"id"`
	Since int    `msg:"since"`
	// WaitMillis is how long the call may be held until there is a result.
	WaitMillis int64 `msg:"wait_millis"`
	// MaxBytes bounds the texts of the answer, which holds at least one result
	// if there is one.
	MaxBytes int `msg:"max_bytes"`
}

// BatchReadResponse holds results in the order of their positions.
type BatchReadResponse struct {
	Total   int              `msg:"total"`
	Results []BatchResultRow `msg:"results"`
}

// BatchResultRow is the result at a position.
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

// ReplicaIndexRequest asks the leader of a store group how far it has come.
type ReplicaIndexRequest struct {
	Group int `msg:"group"`
}

// ReplicaIndex says how far a replica has come in its group's log.
type ReplicaIndex struct {
	Index uint64 `msg:"index"`
}
