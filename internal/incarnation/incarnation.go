// Package incarnation names the incarnations of workers: each run of a worker under its id. A
// worker may restart under the same id, with other software, and then has no state from before.
// What other processes know about a worker is stored under the name of its incarnation, so that
// nothing about an earlier incarnation is applied to the current one.
package incarnation

import (
	"strconv"
	"strings"
)

// separator separates the id, the start time and the version. None of them ever contains it.
const separator = " "

// maxVersionBytes is the length limit of a valid version.
const maxVersionBytes = 64

// Version is the version of the software that a worker runs, empty if unknown. What two versions
// generate does not fit together, so a stream may only go on at the version that began it.
type Version string

// Valid reports whether the version is known and can be part of a name.
func (v Version) Valid() bool { return len(v) <= maxVersionBytes && ValidWorkerID(string(v)) }

// Name returns the name of the incarnation of the worker id that started at startMillis, in Unix
// milliseconds by the worker's clock, and runs the version. An unknown start time is zero. If both
// are unknown, the name is the id.
func Name(id string, startMillis int64, version Version) string {
	switch {
	case version != "":
		return id + separator + strconv.FormatInt(startMillis, 10) + separator + string(version)
	case startMillis != 0:
		return id + separator + strconv.FormatInt(startMillis, 10)
	}
	return id
}

// WorkerID returns the worker id in the name of an incarnation. Workers, and processes that don't
// know incarnations, use the id alone.
func WorkerID(name string) string {
	id, _, _ := strings.Cut(name, separator)
	return id
}

// StartTime returns the start time of the incarnation in Unix milliseconds, or zero if unknown.
func StartTime(name string) int64 {
	_, rest, _ := strings.Cut(name, separator)
	start, _, _ := strings.Cut(rest, separator)
	// The start time in a name returned by Name always parses. For any other name it is unknown.
	startMillis, _ := strconv.ParseInt(start, 10, 64)
	return startMillis
}

// VersionOf returns the version in the name of an incarnation.
func VersionOf(name string) Version {
	_, rest, _ := strings.Cut(name, separator)
	_, version, _ := strings.Cut(rest, separator)
	return Version(version)
}

// ValidWorkerID reports whether an id is a valid worker id: not empty, and without blanks and
// control characters, because it is sent in a header and is part of incarnation names.
func ValidWorkerID(id string) bool {
	return id != "" && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
