// Package life names the lives of workers. A worker may start again under the id that it
// had; it holds and knows nothing of before then. What is known of a worker is kept by the
// name of its life, so that nothing of an earlier life is taken for the present one's.
package incarnation

import (
	"strconv"
	"strings"
)

// separator parts id and start. An id that holds it is no worker's id.
const separator = " "

// Name names the life of the worker with the id that began at born, in milliseconds since
// the Unix epoch by the worker's clock; zero where that is not known.
func Name(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + separator + strconv.FormatInt(born, 10)
}

// WorkerID returns the id of the worker whose life has the name: what the worker itself
// answers to, and what it is known by to processes that know of no lives.
func WorkerID(name string) string {
	id, _, _ := strings.Cut(name, separator)
	return id
}

// StartTime returns when the life began, zero where that is not known.
func StartTime(name string) int64 {
	_, born, _ := strings.Cut(name, separator)
	// A name made here always parses; another one has no start.
	at, _ := strconv.ParseInt(born, 10, 64)
	return at
}

// ValidWorkerID reports whether an id can be a worker's: it is not empty, and travels in a header
// and as a part of a name.
func ValidWorkerID(id string) bool {
	return id != "" && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
