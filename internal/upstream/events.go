package upstream

import (
	"bytes"
	"strconv"
)

// Event is one whole event of a stream.
type Event struct {
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
	// ID is its id, if HasID is set.
	ID    int64
	HasID bool
	// Data is its data, lines joined by line feeds.
	Data string
}

// EventParser cuts a stream of bytes into whole events. What is left at the end
// of the stream is no event. The zero value is ready for use.
type EventParser struct {
	pending []byte
}

var eventEnd = []byte("\n\n")

// Feed takes in bytes and returns the events that are whole now. Their Raw is
// valid until the next call.
func (p *EventParser) Feed(data []byte) []Event {
	p.pending = append(p.pending, data...)
	var events []Event
	rest := p.pending
	for {
		end := bytes.Index(rest, eventEnd)
		if end < 0 {
			break
		}
		raw := rest[:end+len(eventEnd)]
		rest = rest[end+len(eventEnd):]
		events = append(events, parseEvent(raw))
	}
	// The events still point into the old array: it must not be overwritten.
	if len(events) > 0 {
		p.pending = append([]byte(nil), rest...)
	}
	return events
}

// Buffered returns how many bytes of an unfinished event there are.
func (p *EventParser) Buffered() int { return len(p.pending) }

func parseEvent(raw []byte) Event {
	event := Event{Raw: raw}
	var data [][]byte
	for _, line := range bytes.Split(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, err := strconv.ParseInt(string(value), 10, 64)
			event.ID, event.HasID = id, err == nil
		case "data":
			data = append(data, value)
		}
	}
	event.Data = string(bytes.Join(data, []byte("\n")))
	return event
}
