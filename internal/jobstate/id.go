package jobstate

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Kinds of ids. Result files bear the number of their job.
const (
	filePart   = "file"
	jobPart    = "batch"
	outputPart = "output"
	errorsPart = "errors"
)

// GroupOfTenant returns the job group, from 1 to groups, that keeps a tenant's
// files and jobs. One tenant has one group, so that an idempotency key is
// unique over all of the tenant's jobs.
func GroupOfTenant(tenant string, groups int) int {
	return 1 + int(xxhash.Sum64String(tenant)%uint64(groups))
}

// GroupOf returns the group that an id names.
func GroupOf(id string) (int, error) {
	parts := strings.Split(id, "-")
	if len(parts) == 3 && strings.HasPrefix(parts[1], "g") {
		if group, err := strconv.Atoi(parts[1][1:]); err == nil && group > 0 {
			return group, nil
		}
	}
	return 0, failure.New(failure.NotFound, "use an id as it was answered", "there is no object %q", id)
}

// OutputFileID and ErrorFile return the ids under which a job's results are read.
func OutputFileID(jobID string) string { return strings.Replace(jobID, jobPart, outputPart, 1) }

// ErrorFileID returns the id of the file of a job's failed items.
func ErrorFileID(jobID string) string { return strings.Replace(jobID, jobPart, errorsPart, 1) }

// ParseResultFileID returns the job whose results a file id names, and whether it is
// the file of failed items.
func ParseResultFileID(fileID string) (jobID string, failed, found bool) {
	if rest, isOutput := strings.CutPrefix(fileID, outputPart+"-"); isOutput {
		return jobPart + "-" + rest, false, true
	}
	if rest, isErrors := strings.CutPrefix(fileID, errorsPart+"-"); isErrors {
		return jobPart + "-" + rest, true, true
	}
	return "", false, false
}
