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
	// Model and Adapter are the same for every line of the file.
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

// AppendFileRequest appends lines to an open upload. FirstLine is the number of the first one,
// so that lines that are sent again are not appended twice.
type AppendFileRequest struct {
	FileID    string      `msg:"file"`
	Tenant    string      `msg:"tenant"`
	FirstLine uint32      `msg:"first_line"`
	Bytes     int64       `msg:"bytes"`
	Lines     []BatchLine `msg:"lines"`
}

// CompleteFileRequest completes an upload. A job can use only a complete file.
type CompleteFileRequest struct {
	FileID  string `msg:"file"`
	Tenant  string `msg:"tenant"`
	Model   string `msg:"model"`
	Adapter string `msg:"adapter"`
	Lines   uint32 `msg:"lines"`
	Digest  string `msg:"digest"`
}

// DeleteFileRequest deletes a file that no running job uses.
type DeleteFileRequest struct {
	FileID string `msg:"file"`
	Tenant string `msg:"tenant"`
}

// FileResponse is the response to the requests that create, change or read a file's record.
type FileResponse struct {
	File FileRecord `msg:"file"`
}

// GetFileRequest asks for a file's record.
type GetFileRequest struct {
	FileID string `msg:"file"`
	Tenant string `msg:"tenant"`
}

// CreateJobRequest creates a job from a complete file.
type CreateJobRequest struct {
	Tenant string `msg:"tenant"`
	// IdempotencyKey identifies the request: sent again, it returns the job created first.
	IdempotencyKey string `msg:"key"`
	FileID         string `msg:"file"`
	Endpoint       string `msg:"endpoint"`
	// WindowMillis is the time from creation to the job's deadline. RequestedMillis is the
	// time that the caller requested, zero if the tenant's default was used.
	WindowMillis    int64  `msg:"window"`
	RequestedMillis int64  `msg:"requested_window"`
	Rank            int    `msg:"rank"`
	MaxRunning      int    `msg:"max_running"`
	Metadata        []byte `msg:"metadata"`
}

// JobState is the state of a job.
type JobState uint8

const (
	// JobRunning is a job with items that have no result.
	JobRunning JobState = iota
	// JobCompleted is a job with a result for every item.
	JobCompleted
	// JobCancelled is a job that was cancelled; its results up to then remain readable.
	JobCancelled
	// JobExpired is a job whose deadline passed; its results up to then remain readable.
	JobExpired
)

// String returns the state as the batches API names it.
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
	// Repeated is set if the job had been accepted before.
	Repeated bool `msg:"repeated"`
}

// GetJobRequest asks for a job's record.
type GetJobRequest struct {
	JobID  string `msg:"job"`
	Tenant string `msg:"tenant"`
}

// ListJobsRequest asks for the newest jobs of one tenant, or of all, in a job group. Without a
// group it refers to the group that holds the tenant's jobs.
type ListJobsRequest struct {
	Group  int    `msg:"group"`
	Tenant string `msg:"tenant"`
	Limit  int    `msg:"limit"`
}

// ListJobsResponse lists jobs, newest first.
type ListJobsResponse struct {
	Jobs []JobRecord `msg:"jobs"`
}

// CancelJobRequest cancels a job.
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
	// From is the first item to return; Limit is the maximum number of results.
	From  uint32 `msg:"from"`
	Limit int    `msg:"limit"`
	// Failed selects failed items instead of succeeded ones.
	Failed bool `msg:"failed"`
}

// ReadResultsResponse holds results. Next is the item from which to continue; Done is set if
// there are no further results.
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

// ItemRef identifies an item of a job.
type ItemRef struct {
	JobID string `msg:"job"`
	Item  uint32 `msg:"item"`
}

// LeaseItemsRequest renews a dispatcher's item leases and asks for up to Want more items.
type LeaseItemsRequest struct {
	Group       int      `msg:"group"`
	Dispatcher  string   `msg:"dispatcher"`
	Incarnation uint64   `msg:"incarnation"`
	Want        int      `msg:"want"`
	Models      []string `msg:"models"`
	// Held lists the items that the dispatcher still processes; its leases of other items
	// end.
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

// LeaseItemsResponse carries newly leased items in Items, and in Stop the held items that the
// dispatcher must stop because their job was cancelled or another process completed them.
type LeaseItemsResponse struct {
	Items       []LeasedItem `msg:"items"`
	Stop        []ItemRef    `msg:"stop"`
	LeaseMillis int64        `msg:"lease"`
	// IdleMillis is the time to wait before the next request after a response without items.
	IdleMillis int64 `msg:"idle"`
}

// CompleteItemsRequest reports completed items of one job group.
type CompleteItemsRequest struct {
	Dispatcher string       `msg:"dispatcher"`
	Results    []ItemResult `msg:"results"`
}

// CompleteItemsResponse counts the reported items by outcome. No reported item needs to be
// reported again, whatever its outcome.
type CompleteItemsResponse struct {
	Accepted uint32 `msg:"accepted"`
	// Duplicates counts items that had been completed before; the first result is kept.
	Duplicates uint32 `msg:"duplicates"`
	// Refused counts items of a job that is cancelled, expired or unknown.
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

// JobResult is the response of a job group's state machine to a command.
type JobResult struct {
	Failure  *Failure               `msg:"failure"`
	File     *FileResponse          `msg:"file"`
	Job      *JobResponse           `msg:"job"`
	Complete *CompleteItemsResponse `msg:"complete"`
}
