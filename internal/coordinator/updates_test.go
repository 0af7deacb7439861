package coordinator

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestUpdatesAreEncodedOnce checks that callers that know the same state share one encoded update,
// that other callers get another one, and that the cache is bounded.
func TestUpdatesAreEncodedOnce(t *testing.T) {
	var cache updateCache
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
		t.Error("the same update was encoded twice")
	}
	if answer(0, 2) == first || answer(1, 3) == first {
		t.Error("callers that know or get different states share an update")
	}
	for view := range uint64(10 * maxCachedUpdates) {
		answer(view, view+1)
	}
	if len(cache.encoded) > maxCachedUpdates {
		t.Errorf("%d updates are cached, want at most maxCachedUpdates", len(cache.encoded))
	}
	// An age belongs to one list: it must not be told of another one.
	aged := func(digest uint64) any {
		response := &wire.WatchResponse{Term: 1, View: 9, Fleet: &wire.FleetView{}, ListDigest: digest, ListAgeMillis: 100}
		encoded, err := cache.encode(&wire.WatchRequest{Term: 1, View: 8}, response)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	if aged(1) != aged(1) || aged(1) == aged(2) {
		t.Error("updates with the ages of different lists are shared")
	}
	empty := &wire.WatchResponse{Term: 1, View: 2}
	if got, err := cache.encode(&wire.WatchRequest{Term: 1, View: 2}, empty); err != nil || got != empty {
		t.Errorf("got %v, %v for a response without an update, want the response itself", got, err)
	}
}
