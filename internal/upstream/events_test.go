package upstream

import (
	"bytes"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

const sampleStream = "id: 1\ndata: one\n\nweight-versions: 3\nid: 2\ndata: two\ndata: lines\n\n: note\nid:3\ndata:\n\n"

func TestEvents(t *testing.T) {
	var parser EventParser
	events := parser.Feed([]byte(sampleStream + "id: 4\nda"))
	if len(events) != 3 || parser.Buffered() == 0 {
		t.Fatalf("%d events, %d bytes left", len(events), parser.Buffered())
	}
	want := []Event{{ID: 1, HasID: true, Data: "one"}, {ID: 2, HasID: true, Data: "two\nlines"}, {ID: 3, HasID: true}}
	for i := range want {
		if events[i].ID != want[i].ID || events[i].HasID != want[i].HasID || events[i].Data != want[i].Data {
			t.Errorf("event %d is %+v", i, events[i])
		}
	}
}

// TestEventsInPieces checks that the result does not depend on how the stream is split into reads.
func TestEventsInPieces(t *testing.T) {
	proptest.Run(t, "pieces", func(random *rand.Rand) error {
		var parser EventParser
		var raw []byte
		count := 0
		for rest := []byte(sampleStream); len(rest) > 0; {
			length := 1 + random.Intn(len(rest))
			for _, event := range parser.Feed(rest[:length]) {
				raw = append(raw, event.Raw...)
				count++
			}
			rest = rest[length:]
		}
		if count != 3 || string(raw) != sampleStream || parser.Buffered() != 0 {
			return errors.Newf("%d events: %q", count, raw)
		}
		return nil
	})
}

// FuzzEvents checks that the raw events and the buffered bytes add up to the input.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(sampleStream), uint8(3))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, input []byte, cut uint8) {
		var parser EventParser
		var raw []byte
		for rest := input; len(rest) > 0; {
			length := min(int(cut)+1, len(rest))
			for _, event := range parser.Feed(rest[:length]) {
				raw = append(raw, event.Raw...)
			}
			rest = rest[length:]
		}
		if !bytes.HasPrefix(input, raw) || len(raw)+parser.Buffered() != len(input) {
			t.Errorf("%d bytes in events, %d left of %d", len(raw), parser.Buffered(), len(input))
		}
	})
}
