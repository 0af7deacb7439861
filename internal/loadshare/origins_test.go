package loadshare

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// originHub is a hub that keeps origins. A silent hub answers nothing, and an older one takes reports
// on origins for those of a source that leaves.
type originHub struct {
	mutex         sync.Mutex
	origins       map[uint64]wire.StreamOrigin
	silent, older bool
}

func (h *originHub) answer(report *wire.LoadReport) *wire.LoadReport {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.older {
		if report.Left || report.Quiet {
			return nil
		}
		return &wire.LoadReport{}
	}
	for _, row := range report.Origins {
		h.origins[row.Stream] = row
	}
	if h.silent || len(report.Lookups) == 0 {
		return nil
	}
	answer := &wire.LoadReport{}
	for _, stream := range report.Lookups {
		if row, found := h.origins[stream]; found {
			answer.Origins = append(answer.Origins, row)
		} else {
			answer.Unknown = append(answer.Unknown, stream)
		}
	}
	return answer
}

func (h *originHub) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.origins)
}

// TestLookupOrigin looks up origins at four hubs, some of which are silent, of an earlier build or
// without the origin.
func TestLookupOrigin(t *testing.T) {
	row := wire.StreamOrigin{Stream: 7, Pool: "p", Version: "v1"}
	for _, test := range []struct {
		name            string
		holders, silent []int
		older           []int
		found, complete bool
	}{
		{"first", []int{0}, nil, nil, true, true},
		{"second, the first silent", []int{1}, []int{0}, nil, true, true},
		{"another zone's", []int{3}, nil, nil, true, true},
		{"another zone's, some silent", []int{3}, []int{0, 1, 2}, nil, true, true},
		{"none", nil, nil, nil, false, true},
		{"none, one silent", nil, []int{2}, nil, false, false},
		{"none, one of an earlier build", nil, nil, []int{0}, false, false},
		{"held by one, the rest of an earlier build", []int{1}, nil, []int{0, 2, 3}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var addresses []string
			var hubs []*originHub
			for range 4 {
				address, hub := freeUDP(t), &originHub{origins: map[uint64]wire.StreamOrigin{}}
				addresses, hubs = append(addresses, address), append(hubs, hub)
			}
			for _, i := range test.holders {
				hubs[i].origins[row.Stream] = row
			}
			for _, i := range test.silent {
				hubs[i].silent = true
			}
			for _, i := range test.older {
				hubs[i].older = true
			}
			for i, hub := range hubs {
				go func() { _ = Serve(ctx, addresses[i], hub.answer) }()
			}
			x := startExchange(ctx, t, func() []string { return addresses })
			got, complete := x.LookupOrigin(ctx, row.Stream)
			if (got != nil) != test.found || complete != test.complete || got != nil && *got != row {
				t.Errorf("got %+v, %t", got, complete)
			}
			x.mutex.Lock()
			registered := len(x.lookups)
			x.mutex.Unlock()
			if registered > 0 {
				t.Error("the lookup is still registered")
			}
		})
	}
}

// TestOriginsGoToTwoHubs sends origins, more than one report holds, and checks which hubs keep them.
func TestOriginsGoToTwoHubs(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var addresses []string
	var hubs []*originHub
	for range 3 {
		address, hub := freeUDP(t), &originHub{origins: map[uint64]wire.StreamOrigin{}}
		addresses, hubs = append(addresses, address), append(hubs, hub)
		go func() { _ = Serve(ctx, address, hub.answer) }()
	}
	x := startExchange(ctx, t, func() []string { return addresses })
	var rows []wire.StreamOrigin
	for stream := range uint64(maxOriginsPerReport + 5) {
		rows = append(rows, wire.StreamOrigin{Stream: stream, Pool: "p", Version: "v1"})
	}
	x.SendOrigins(rows)
	for end := time.Now().Add(10 * time.Second); hubs[0].count()+hubs[1].count() < 2*len(rows); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the hubs keep %d and %d of %d origins", hubs[0].count(), hubs[1].count(), len(rows))
		}
	}
	if hubs[2].count() > 0 {
		t.Errorf("a third hub keeps %d origins", hubs[2].count())
	}
}

// startExchange returns an exchange that runs.
func startExchange(ctx context.Context, t *testing.T, hubs func() []string) *Exchange {
	t.Helper()
	x := NewExchange(&Reporter{
		Hubs:     hubs,
		Report:   func() *wire.LoadReport { return nil },
		OnAnswer: func(time.Time, *wire.LoadReport) { t.Error("an answer on origins was taken for loads") },
		Interval: func() time.Duration { return time.Hour },
	})
	go func() { _ = x.Run(ctx) }()
	for open := false; !open; time.Sleep(time.Millisecond) {
		x.mutex.Lock()
		open = x.socket != nil
		x.mutex.Unlock()
	}
	return x
}

// TestLookupWaitsForStartingHubs looks up an origin before the hub that holds it is known, and before it
// answers.
func TestLookupWaitsForStartingHubs(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	row := wire.StreamOrigin{Stream: 7, Pool: "p", Version: "v1"}
	hub := &originHub{origins: map[uint64]wire.StreamOrigin{row.Stream: row}}
	address, known := freeUDP(t), make(chan struct{})
	x := startExchange(ctx, t, func() []string {
		select {
		case <-known:
			return []string{address}
		default:
			return nil
		}
	})
	time.AfterFunc(20*time.Millisecond, func() { close(known) })
	time.AfterFunc(60*time.Millisecond, func() { _ = Serve(ctx, address, hub.answer) })
	if got, complete := x.LookupOrigin(ctx, row.Stream); got == nil || *got != row || !complete {
		t.Errorf("got %+v, %t", got, complete)
	}
}
