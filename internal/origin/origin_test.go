package origin

import (
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	v1    = Origin{"p", "v1"}
	v2    = Origin{"p", "v2"}
)

func TestOriginIsKeptForItsCaller(t *testing.T) {
	r := NewRegistry()
	r.Put(start, 1, v1, 10*time.Second)
	r.Put(start.Add(time.Second), 2, v2, time.Second)
	r.Put(start.Add(5*time.Second), 1, v1, time.Second)
	for _, test := range []struct {
		after time.Duration
		key   Key
		want  Origin
	}{
		{2 * time.Second, 1, v1}, {2 * time.Second, 2, v2}, {2 * time.Second, 3, Origin{}},
		{2001 * time.Millisecond, 2, Origin{}}, {10 * time.Second, 1, v1}, {10001 * time.Millisecond, 1, Origin{}},
	} {
		got, found := r.Get(start.Add(test.after), test.key)
		if got != test.want || found != (test.want != Origin{}) {
			t.Errorf("key %d after %s: got %+v, %t", test.key, test.after, got, found)
		}
	}
	r.Put(start.Add(time.Minute), 3, v1, time.Second)
	if r.Len() != 1 || len(r.order)-r.first != 1 {
		t.Errorf("%d origins are held after the others have expired", r.Len())
	}
}

// TestDifferentOriginsUnderOneID guards against a stream that goes on at the later of two versions
// under the id of two requests.
func TestDifferentOriginsUnderOneID(t *testing.T) {
	r := NewRegistry()
	r.Put(start, 1, v1, time.Second)
	r.Put(start, 1, v2, time.Second)
	r.Put(start, 1, v2, time.Second)
	if got, found := r.Get(start, 1); found {
		t.Errorf("got %+v", got)
	}
	if KeyOf("a", "b-1") == KeyOf("a-b", "1") || KeyOf("", "1") == KeyOf("a", "1") {
		t.Error("streams of different tenants have the same key")
	}
}

func TestFullRegistryDropsTheOldest(t *testing.T) {
	r := NewRegistry()
	for key := range Key(maxEntries + 10) {
		r.Put(start, key, v1, time.Hour)
	}
	if r.Len() != maxEntries {
		t.Errorf("%d origins are held, want %d", r.Len(), maxEntries)
	}
	if _, found := r.Get(start, 9); found {
		t.Error("an origin that had to make room is still held")
	}
	if _, found := r.Get(start, maxEntries+9); !found {
		t.Error("the newest origin is not held")
	}
	held := 0
	r.Each(start, func(Key, Origin, time.Duration) { held++ })
	if held != maxEntries {
		t.Errorf("Each visits %d origins", held)
	}
}
