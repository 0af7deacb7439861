// Package record reads the logs of a real run and checks the system's promises against them. It
// reports which promises were broken, and by which events. The logs are its only input; it sends no
// requests to the processes.
package record

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Event is a log line: the event's name, the time, the process with its role, and further fields.
type Event struct {
	At      time.Time
	Process string
	Role    string
	Name    string
	fields  map[string]string
}

// Field returns a field of the event, or an empty string if there is none.
func (e *Event) Field(field string) string { return e.fields[field] }

// Each calls visit with every field, in no particular order.
func (e *Event) Each(visit func(field, value string)) {
	for field, value := range e.fields {
		visit(field, value)
	}
}

// Uint returns a field as a number, or zero if there is none or it is not a number.
func (e *Event) Uint(field string) uint64 {
	value, err := strconv.ParseUint(e.fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// ReadFolder reads all files of a folder whose names end in .log and returns their events, sorted by
// time.
func ReadFolder(folder string) ([]Event, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, errors.Newf("folder %s has no files that end in .log", folder)
	}
	var events []Event
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		read, err := Read(file)
		if err = errors.CombineErrors(err, file.Close()); err != nil {
			return nil, errors.Wrap(err, path)
		}
		events = append(events, read...)
	}
	sort.SliceStable(events, func(a, b int) bool { return events[a].At.Before(events[b].At) })
	return events, nil
}

// Read reads the events of one log. Lines that are not events are skipped, because a process that was
// killed may leave a truncated line.
func Read(from io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	var events []Event
	for scanner.Scan() {
		if event, valid := parse(scanner.Bytes()); valid {
			events = append(events, event)
		}
	}
	return events, scanner.Err()
}

func parse(line []byte) (Event, bool) {
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	event := Event{fields: map[string]string{}}
	if !decoder.ScanRecord() {
		return event, false
	}
	for decoder.ScanKeyval() {
		event.fields[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, event.fields["time"])
	event.At = at
	event.Process = event.fields["process"]
	event.Role = event.fields["role"]
	event.Name = event.fields["event"]
	return event, decoder.Err() == nil && err == nil && event.Name != "" && event.Process != ""
}
