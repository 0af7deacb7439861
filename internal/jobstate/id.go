package jobstate

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Kinds of ids, which are their first part. The id of a result file is the id of its job with
// another kind.
const (
	fileKind   = "file"
	jobKind    = "batch"
	outputKind = "output"
	errorsKind = "errors"
)

// GroupOfTenant returns the job group, from 1 to groups, that stores a tenant's files and jobs. All
// jobs of a tenant are in one group, so that the group can check that an idempotency key is unique.
func GroupOfTenant(tenant string, groups int) int {
	return 1 + int(xxhash.Sum64String(tenant)%uint64(groups))
}

// GroupOf returns the job group that is part of an id.
func GroupOf(id string) (int, error) {
	parts := strings.Split(id, "-")
	if len(parts) == 3 && strings.HasPrefix(parts[1], "g") {
		if group, err := strconv.Atoi(parts[1][1:]); err == nil && group > 0 {
			return group, nil
		}
	}
	return 0, failure.New(failure.NotFound, "use an id as it was answered", "there is no object %q", id)
}

// OutputFileID returns the id of the file of a job's succeeded items.
func OutputFileID(jobID string) string { return strings.Replace(jobID, jobKind, outputKind, 1) }

// ErrorFileID returns the id of the file of a job's failed items.
func ErrorFileID(jobID string) string { return strings.Replace(jobID, jobKind, errorsKind, 1) }

// ParseResultFileID returns the job to which a result file belongs, and whether the file holds the
// failed items. Found is false if the id is not that of a result file.
func ParseResultFileID(fileID string) (jobID string, failed, found bool) {
	if rest, isOutput := strings.CutPrefix(fileID, outputKind+"-"); isOutput {
		return jobKind + "-" + rest, false, true
	}
	if rest, isErrors := strings.CutPrefix(fileID, errorsKind+"-"); isErrors {
		return jobKind + "-" + rest, true, true
	}
	return "", false, false
}
