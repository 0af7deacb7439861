package engine

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
)

// TestSequencerProperty mixes duplicate events and events of other attempts into a stream:
// the sequencer must accept exactly the stream itself, or its part before a gap.
func TestSequencerProperty(t *testing.T) {
	proptest.Run(t, "only own events, in order, once", func(random *rand.Rand) error {
		sequencer := Sequencer{AttemptID: "a"}
		next := 0
		for offset := 0; offset < 50; offset++ {
			for random.Intn(3) == 0 {
				dropped := Event{Type: EventTokens, AttemptID: "b", Offset: random.Intn(60), Tokens: 1}
				if random.Intn(2) == 0 && next > 0 {
					dropped = Event{Type: EventTokens, AttemptID: "a", Offset: random.Intn(next), Tokens: 1}
				}
				if keep, err := sequencer.Accept(&dropped); keep || err != nil {
					return errors.Newf("unexpected event %+v at %d: kept %t, %v", dropped, next, keep, err)
				}
			}
			if random.Intn(100) == 0 {
				continue
			}
			keep, err := sequencer.Accept(&Event{Type: EventTokens, AttemptID: "a", Offset: offset, Tokens: 1})
			if offset != next {
				if !failure.Is(err, failure.OutcomeUnknown) {
					return errors.Newf("a gap at %d gave %v", offset, err)
				}
				return nil
			}
			if !keep || err != nil {
				return errors.Newf("event %d: kept %t, %v", offset, keep, err)
			}
			next++
		}
		return nil
	})
}

// FuzzStream feeds arbitrary bytes to the decoder of engines' streams.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"type\":\"tokens\",\"attempt_id\":\"a\",\"offset\":0,\"tokens\":1,\"text\":\"x\"}\n\ndata: {\"type\":\"end\",\"attempt_id\":\"a\",\"offset\":1}\n\n"))
	f.Add([]byte("data: {]\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := newStream(io.NopCloser(bytes.NewReader(data)), "a", 0)
		for {
			event, err := stream.Next()
			if err != nil {
				if !failure.Is(err, failure.OutcomeUnknown) {
					t.Errorf("the stream ended with an untyped error: %v", err)
				}
				return
			}
			if event.AttemptID != "a" {
				t.Errorf("returned an event of another attempt: %s", fmt.Sprintf("%+v", event))
			}
		}
	})
}
