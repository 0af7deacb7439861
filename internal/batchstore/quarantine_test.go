package batchstore

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/upstream"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// brokeOff is how a run ends whose worker closed the connection.
func brokeOff() error {
	return failure.Wrap(io.ErrUnexpectedEOF, failure.OutcomeUnknown, "", "broke off")
}

// endedWorker returns an address at which nobody listens any more.
func endedWorker(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestWhatSpeaksForAnItem ends runs in several ways: one without progress whose worker has
// ended counts against the item, one that had come far speaks for it.
func TestWhatSpeaksForAnItem(t *testing.T) {
	const item = quarantine.Fingerprint(7)
	for _, test := range []struct {
		name  string
		err   error
		moved bool
		ran   time.Duration
		want  quarantine.Standing
	}{
		{"its worker ended as it began", brokeOff(), false, 20 * time.Millisecond, quarantine.Refused},
		{"its worker ended after some events", brokeOff(), true, 100 * time.Millisecond, quarantine.Refused},
		{"its worker ended after it had come far", brokeOff(), true, goodRun, quarantine.Unknown},
		{"it was silent for long", brokeOff(), false, goodRun, quarantine.Refused},
		{"another failure", failure.New(failure.Internal, "", "the worker failed at it"), false, 0, quarantine.Suspect},
		{"a good end", nil, true, time.Millisecond, quarantine.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testRunner(t, 1)
			r.store.upstream = upstream.NewClient(httpheader.Default())
			book := r.store.watcher.Quarantine()
			for _, worker := range []string{"a", "b"} {
				book.RecordExit(clock.Now(), item, worker, time.Time{})
			}
			running := r.runItem(t, 0, clock.Now())
			running.print, running.ran = item, test.ran
			running.lease.Endpoint = upstream.Endpoint{ID: "c", Address: endedWorker(t)}
			running.tellRun(test.err, test.moved)
			if got := book.Standing(clock.Now(), item); got != test.want {
				t.Errorf("it stands as %d, want %d", got, test.want)
			}
		})
	}
}

// TestTrialIsKeptUntilItIsMade lets an item on trial give way: it keeps its grant, which
// another minute would have to be waited for otherwise; one that ended its worker does not.
func TestTrialIsKeptUntilItIsMade(t *testing.T) {
	for _, ends := range []bool{false, true} {
		r := testRunner(t, 1)
		r.store.upstream = upstream.NewClient(httpheader.Default())
		running := r.runItem(t, 0, clock.Now())
		running.onTrial, running.yielded = true, !ends
		running.lease = &balance.Lease{Endpoint: upstream.Endpoint{ID: "w", Address: endedWorker(t)}}
		if ends {
			running.tellRun(brokeOff(), false)
		}
		r.end(running)
		if kept := r.granted[running.key]; kept == ends {
			t.Errorf("its worker ended: %t, the grant is kept: %t", ends, kept)
		}
	}
}

// TestRefusedItemsRest refuses an item: it rests, does not start, and starts once its trial
// is granted.
func TestRefusedItemsRest(t *testing.T) {
	r, now := testRunner(t, 1), clock.Now()
	key := itemKey{"j", 0}
	job, err := r.group.machine.Job("j")
	if err != nil {
		t.Fatal(err)
	}
	content := &wire.ItemContent{Path: "/"}
	book := r.store.watcher.Quarantine()
	for _, worker := range []string{"a", "b", "c"} {
		book.RecordExit(now, fingerprintOf(job, content), worker, time.Time{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !r.quarantined(ctx, now, key, job, content) || !r.rests(now, key) {
		t.Error("a refused item starts")
	}
	r.granted[key] = true
	if r.quarantined(ctx, now, key, job, content) {
		t.Error("an item on trial does not start")
	}
}
