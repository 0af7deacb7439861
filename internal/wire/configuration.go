package wire

//msgp:limit arrays:65536 maps:65536

// Document is one configuration document as control stores it. Body is the canonical JSON of
// the kind's type in package metastate.
type Document struct {
	Kind     string `msg:"kind" json:"kind"`
	Name     string `msg:"name" json:"name"`
	Body     []byte `msg:"body,limit=33554432" json:"-"`
	Revision uint64 `msg:"revision" json:"revision"`
	Deleted  bool   `msg:"deleted" json:"deleted,omitempty"`
}

// ConfigDelta lists the documents that changed after the requested revision. A full delta
// replaces all documents that the reader has.
type ConfigDelta struct {
	Revision  uint64     `msg:"revision"`
	Full      bool       `msg:"full"`
	Documents []Document `msg:"documents"`
}

// ApplyRequest changes configuration documents atomically: all or none.
type ApplyRequest struct {
	// ChangeID identifies the change; sending it again returns the first response.
	ChangeID string `msg:"change"`
	// ExpectedRevision is the revision that the change is based on.
	ExpectedRevision uint64     `msg:"expected_revision"`
	Operator         string     `msg:"operator"`
	Documents        []Document `msg:"documents"`
}

// ApplyResponse is the response to an accepted change.
type ApplyResponse struct {
	Revision uint64 `msg:"revision" json:"revision"`
	// Repeated is set if the change had been accepted before.
	Repeated bool `msg:"repeated" json:"repeated"`
}

// GetDocumentsRequest asks for the documents of a kind and name. An empty Kind or Name matches
// all.
type GetDocumentsRequest struct {
	Kind string `msg:"kind"`
	Name string `msg:"name"`
}

// GetDocumentsResponse holds the documents and the revision at which they were read.
type GetDocumentsResponse struct {
	Revision  uint64     `msg:"revision"`
	Documents []Document `msg:"documents"`
}

// HistoryRequest asks for the most recent changes, Limit at most.
type HistoryRequest struct {
	Limit int `msg:"limit"`
}

// HistoryResponse lists changes, newest first.
type HistoryResponse struct {
	Changes []Change `msg:"changes" json:"changes"`
}

// Change is one accepted change of the configuration.
type Change struct {
	Revision  uint64   `msg:"revision" json:"revision"`
	ChangeID  string   `msg:"change" json:"change_id"`
	Digest    string   `msg:"digest" json:"digest"`
	Operator  string   `msg:"operator" json:"operator"`
	AtMillis  int64    `msg:"at" json:"at_ms"`
	Documents []string `msg:"documents" json:"documents"`
}

// MetaCommand is an entry of the meta group's log. Exactly one field is set.
type MetaCommand struct {
	AtMillis int64          `msg:"at"`
	Apply    *ApplyRequest  `msg:"apply"`
	Assign   *AssignCommand `msg:"assign"`
}

// AssignCommand assigns workers to dispatchers. The state machine raises the epoch of each
// assigned worker. Forget names workers whose assignments are removed.
type AssignCommand struct {
	Assignments []Assignment `msg:"assignments"`
	Forget      []string     `msg:"forget"`
}

// MetaResult is the response of the meta group's state machine to a command.
type MetaResult struct {
	Failure     *Failure       `msg:"failure"`
	Apply       *ApplyResponse `msg:"apply"`
	Assignments []Assignment   `msg:"assignments"`
}
