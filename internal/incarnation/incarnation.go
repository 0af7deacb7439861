// Package incarnation names the incarnations of workers: each run of a worker under its id. A
// worker may restart under the same id and then has no state from before. What other processes know
// about a worker is stored under the name of its incarnation, so that nothing about an earlier
// incarnation is applied to the current one.
package incarnation

import (
	"strconv"
	"strings"
)

// separator separates the id from the start time. A worker id never contains it.
const separator = " "

// Name returns the name of the incarnation of the worker id that started at startMillis, in Unix
// milliseconds by the worker's clock. If the start time is unknown (zero), the name is the id.
func Name(id string, startMillis int64) string {
	if startMillis == 0 {
		return id
	}
	return id + separator + strconv.FormatInt(startMillis, 10)
}

// WorkerID returns the worker id in the name of an incarnation. Workers, and processes that don't
// know incarnations, use the id alone.
func WorkerID(name string) string {
	id, _, _ := strings.Cut(name, separator)
	return id
}

// StartTime returns the start time of the incarnation in Unix milliseconds, or zero if unknown.
func StartTime(name string) int64 {
	_, start, _ := strings.Cut(name, separator)
	// The start time in a name returned by Name always parses. For any other name it is unknown.
	startMillis, _ := strconv.ParseInt(start, 10, 64)
	return startMillis
}

// ValidWorkerID reports whether an id is a valid worker id: not empty, and without blanks and
// control characters, because it is sent in a header and is part of incarnation names.
func ValidWorkerID(id string) bool {
	return id != "" && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
