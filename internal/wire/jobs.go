package wire

//msgp:limit arrays:65536 maps:65536

// BeginFileRequest opens an upload.
type BeginFileRequest struct {
	Tenant   string `msg:"tenant"`
	Filename string `msg:"filename"`
	Purpose  string `msg:"purpose"`
}

// FileRecord describes an uploaded file.
type FileRecord struct {
	ID       string `msg:"id"`
	Tenant   string `msg:"tenant"`
	Filename string `msg:"filename"`
	Purpose  string `msg:"purpose"`
	// Model and Adapter are those of every line of the file.
	Model         string `msg:"model"`
	Adapter       string `msg:"adapter"`
	Lines         uint32 `msg:"lines"`
	Bytes         int64  `msg:"bytes"`
	Digest        string `msg:"digest"`
	Complete      bool   `msg:"complete"`
	CreatedMillis int64  `msg:"created"`
	UpdatedMillis int64  `msg:"updated"`
}

// BatchLine is one parsed line of a job's input file.
type BatchLine struct {
	CustomID  string `msg:"custom_id"`
	Prompt    string `msg:"prompt"`
	MaxTokens int    `msg:"max_tokens"`
}

// AppendFileRequest adds lines to an open upload. FirstLine makes a resend of
// the same lines harmless.
type AppendFileRequest struct {
	FileID    string      `msg:"file"`
	Tenant    string      `msg:"tenant"`
	FirstLine uint32      `msg:"first_line"`
	Bytes     int64       `msg:"bytes"`
	Lines     []BatchLine `msg:"lines"`
}

// CompleteFileRequest closes an upload; only then can a job use it.
type CompleteFileRequest struct {
	FileID  string `msg:"file"`
	Tenant  string `msg:"tenant"`
	Model   string `msg:"model"`
	Adapter string `msg:"adapter"`
	Lines   uint32 `msg:"lines"`
	Digest  string `msg:"digest"`
}

// DeleteFileRequest removes a file that no unfinished job uses.
type DeleteFileRequest struct {
	FileID string `msg:"file"`
	Tenant string `msg:"tenant"`
}

// FileResponse is the answer to the upload commands.
type FileResponse struct {
	File FileRecord `msg:"file"`
}

// GetFileRequest asks for a file's record.
type GetFileRequest struct {
	FileID string `msg:"file"`
	Tenant string `msg:"tenant"`
}

// CreateJobRequest turns a complete file into a job.
type CreateJobRequest struct {
	Tenant string `msg:"tenant"`
	// IdempotencyKey makes a resend return the first job.
	IdempotencyKey string `msg:"key"`
	FileID         string `msg:"file"`
	Endpoint       string `msg:"endpoint"`
	// WindowMillis is the time until the job's deadline; RequestedMillis is what
	// the caller asked for, zero where the tenant's default was taken.
	WindowMillis    int64  `msg:"window"`
	RequestedMillis int64  `msg:"requested_window"`
	Rank            int    `msg:"rank"`
	MaxRunning      int    `msg:"max_running"`
	Metadata        []byte `msg:"metadata"`
}

// JobState is the state of a job.
type JobState uint8

const (
	// JobRunning has items that are not finished.
	JobRunning JobState = iota
	// JobCompleted has a result for every item.
	JobCompleted
	// JobCancelled was stopped; the results it had remain readable.
	JobCancelled
	// JobExpired passed its deadline; the results it had remain readable.
	JobExpired
)

// String returns the state in the words of the batches API.
func (s JobState) String() string {
	switch s {
	case JobCompleted:
		return "completed"
	case JobCancelled:
		return "cancelled"
	case JobExpired:
		return "expired"
	}
	return "in_progress"
}

// JobRecord describes a job.
type JobRecord struct {
	ID             string   `msg:"id"`
	Tenant         string   `msg:"tenant"`
	IdempotencyKey string   `msg:"key"`
	Digest         string   `msg:"digest"`
	FileID         string   `msg:"file"`
	Model          string   `msg:"model"`
	Adapter        string   `msg:"adapter"`
	Endpoint       string   `msg:"endpoint"`
	State          JobState `msg:"state"`
	Rank           int      `msg:"rank"`
	Items          uint32   `msg:"items"`
	Succeeded      uint32   `msg:"succeeded"`
	Failed         uint32   `msg:"failed"`
	CreatedMillis  int64    `msg:"created"`
	DeadlineMillis int64    `msg:"deadline"`
	EndedMillis    int64    `msg:"ended"`
	Metadata       []byte   `msg:"metadata"`
}

// JobResponse is a job's record.
type JobResponse struct {
	Job JobRecord `msg:"job"`
	// Repeated is set when the job had been accepted before.
	Repeated bool `msg:"repeated"`
}

// GetJobRequest asks for a job's record.
type GetJobRequest struct {
	JobID  string `msg:"job"`
	Tenant string `msg:"tenant"`
}

// ListJobsRequest asks for the newest jobs of one tenant, or of all, in a group.
// Without a group it means the tenant's own.
type ListJobsRequest struct {
	Group  int    `msg:"group"`
	Tenant string `msg:"tenant"`
	Limit  int    `msg:"limit"`
}

// ListJobsResponse lists jobs, newest first.
type ListJobsResponse struct {
	Jobs []JobRecord `msg:"jobs"`
}

// CancelJobRequest stops a job.
type CancelJobRequest struct {
	JobID  string `msg:"job"`
	Tenant string `msg:"tenant"`
}

// ItemResult is the outcome of one item.
type ItemResult struct {
	JobID            string   `msg:"job"`
	Item             uint32   `msg:"item"`
	CustomID         string   `msg:"custom_id"`
	RequestID        string   `msg:"request"`
	Model            string   `msg:"model"`
	Text             string   `msg:"text"`
	FinishReason     string   `msg:"finish_reason"`
	PromptTokens     int      `msg:"prompt_tokens"`
	CompletionTokens int      `msg:"completion_tokens"`
	Failure          *Failure `msg:"failure"`
}

// ReadResultsRequest asks for results in the order of the items.
type ReadResultsRequest struct {
	JobID  string `msg:"job"`
	Tenant string `msg:"tenant"`
	// From is the first item wanted; Limit bounds the number of results.
	From  uint32 `msg:"from"`
	Limit int    `msg:"limit"`
	// Failed selects failed items instead of succeeded ones.
	Failed bool `msg:"failed"`
}

// ReadResultsResponse holds results; Next is the item to go on from, and Done
// is set when there are none after it.
type ReadResultsResponse struct {
	Results []ItemResult `msg:"results"`
	Next    uint32       `msg:"next"`
	Done    bool         `msg:"done"`
}

// ReadLinesRequest asks for parsed input lines of a file.
type ReadLinesRequest struct {
	FileID string `msg:"file"`
	Tenant string `msg:"tenant"`
	From   uint32 `msg:"from"`
	Limit  int    `msg:"limit"`
}

// ReadLinesResponse holds parsed input lines.
type ReadLinesResponse struct {
	Lines []BatchLine `msg:"lines"`
}

// ItemRef names an item of a job.
type ItemRef struct {
	JobID string `msg:"job"`
	Item  uint32 `msg:"item"`
}

// LeaseItemsRequest renews a dispatcher's item leases and asks for more items.
type LeaseItemsRequest struct {
	Group       int      `msg:"group"`
	Dispatcher  string   `msg:"dispatcher"`
	Incarnation uint64   `msg:"incarnation"`
	Want        int      `msg:"want"`
	Models      []string `msg:"models"`
	// Held lists the items the dispatcher still works on; leases of others end.
	Held []ItemRef `msg:"held"`
}

// LeasedItem is an item with its input.
type LeasedItem struct {
	Ref            ItemRef   `msg:"ref"`
	Tenant         string    `msg:"tenant"`
	Rank           int       `msg:"rank"`
	DeadlineMillis int64     `msg:"deadline"`
	Model          string    `msg:"model"`
	Adapter        string    `msg:"adapter"`
	Line           BatchLine `msg:"line"`
}

// LeaseItemsResponse carries new items, and the held items that must stop
// because their job was cancelled or somebody else has finished them.
type LeaseItemsResponse struct {
	Items       []LeasedItem `msg:"items"`
	Stop        []ItemRef    `msg:"stop"`
	LeaseMillis int64        `msg:"lease"`
	// IdleMillis is when to ask again after an answer without items.
	IdleMillis int64 `msg:"idle"`
}

// CompleteItemsRequest reports finished items in a group.
type CompleteItemsRequest struct {
	Dispatcher string       `msg:"dispatcher"`
	Results    []ItemResult `msg:"results"`
}

// CompleteItemsResponse counts what became of the reported items. Every
// reported item is settled by the answer: it needs no further report.
type CompleteItemsResponse struct {
	Accepted uint32 `msg:"accepted"`
	// Duplicates had been completed before; the first completion stays.
	Duplicates uint32 `msg:"duplicates"`
	// Refused belong to a job that is cancelled, expired or not known.
	Refused uint32 `msg:"refused"`
}

// JobCommand is an entry of a job group's log. Exactly one pointer is set.
type JobCommand struct {
	AtMillis     int64                 `msg:"at"`
	BeginFile    *BeginFileRequest     `msg:"begin_file"`
	AppendFile   *AppendFileRequest    `msg:"append_file"`
	CompleteFile *CompleteFileRequest  `msg:"complete_file"`
	DeleteFile   *DeleteFileRequest    `msg:"delete_file"`
	CreateJob    *CreateJobRequest     `msg:"create_job"`
	CancelJob    *CancelJobRequest     `msg:"cancel_job"`
	Complete     *CompleteItemsRequest `msg:"complete"`
	Expire       bool                  `msg:"expire"`
}

// JobResult is the answer of a job group's state machine to a command.
type JobResult struct {
	Failure  *Failure               `msg:"failure"`
	File     *FileResponse          `msg:"file"`
	Job      *JobResponse           `msg:"job"`
	Complete *CompleteItemsResponse `msg:"complete"`
}
