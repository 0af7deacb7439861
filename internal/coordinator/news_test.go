package coordinator

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestNewsAreEncodedOnce lets callers who stand at the same place get the same answer,
// encoded once, and others one of their own; nothing grows without bound.
func TestNewsAreEncodedOnce(t *testing.T) {
	var cache newsCache
	answer := func(fromView, view uint64) any {
		response := &wire.WatchResponse{Term: 1, View: view, Fleet: &wire.FleetView{Edges: int(fromView)}}
		encoded, err := cache.encode(&wire.WatchRequest{Term: 1, View: fromView}, response)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	first := answer(1, 2)
	if answer(1, 2) != first {
		t.Error("the same answer was encoded again")
	}
	if answer(0, 2) == first || answer(1, 3) == first {
		t.Error("callers who know or get something else got the same answer")
	}
	for view := range uint64(10 * maxNews) {
		answer(view, view+1)
	}
	if len(cache.encoded) > maxNews {
		t.Errorf("%d answers are kept", len(cache.encoded))
	}
	empty := &wire.WatchResponse{Term: 1, View: 2}
	if got, err := cache.encode(&wire.WatchRequest{Term: 1, View: 2}, empty); err != nil || got != empty {
		t.Errorf("an answer without news: %v, %v", got, err)
	}
}
