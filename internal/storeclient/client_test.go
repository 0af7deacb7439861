package storeclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// router lets a ServeMux take rpc's handlers.
type router struct{ *http.ServeMux }

// HandleFunc implements rpc.Router.
func (r router) HandleFunc(path string, handler http.HandlerFunc) { r.Handle(path, handler) }

// store is a stand-in that answers the ends of jobs.
type store struct {
	address string
	asked   atomic.Int64
}

func startStore(t *testing.T, answer func(*store) (msgp.Marshaler, error)) *store {
	t.Helper()
	s := &store{}
	mux := router{http.NewServeMux()}
	rpc.Handle(mux, MethodEnd, func(context.Context, *wire.BatchName) (msgp.Marshaler, error) {
		s.asked.Add(1)
		return answer(s)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

func notLeader(leader string) error {
	return failure.New(failure.NotRun, "ask the leader", "it does not lead").WithField(consensus.LeaderField + leader)
}

func TestClientFollowsToTheLeaderAndStays(t *testing.T) {
	leader := startStore(t, func(*store) (msgp.Marshaler, error) { return &wire.BatchResult{}, nil })
	follower := startStore(t, func(*store) (msgp.Marshaler, error) { return nil, notLeader(leader.address) })
	client := New(func() []string { return []string{follower.address} })
	for i := 0; i < 3; i++ {
		if _, err := client.End(context.Background(), "j"); err != nil {
			t.Fatal(err)
		}
	}
	if leader.asked.Load() != 3 || follower.asked.Load() != 1 {
		t.Errorf("leader asked %d times, follower %d", leader.asked.Load(), follower.asked.Load())
	}
}

// TestOutcomes checks what a caller is told when its time is over: not run only
// if no try can have been carried out.
func TestOutcomes(t *testing.T) {
	refusing := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotRun, "try again", "there is no leader")
	})
	unsure := startStore(t, func(s *store) (msgp.Marshaler, error) {
		if s.asked.Load() == 1 {
			return nil, failure.New(failure.OutcomeUnknown, "send it again", "leadership changed")
		}
		return nil, failure.New(failure.NotRun, "try again", "there is no leader")
	})
	definite := startStore(t, func(*store) (msgp.Marshaler, error) {
		return nil, failure.New(failure.NotFound, "check the id", "there is no such job")
	})
	for _, test := range []struct {
		name   string
		stores []string
		want   failure.Kind
	}{
		{"no store known", nil, failure.NotRun},
		{"a store that can't be reached", []string{"127.0.0.1:1"}, failure.NotRun},
		{"refused each time", []string{refusing.address}, failure.NotRun},
		{"unsure once", []string{unsure.address}, failure.OutcomeUnknown},
		{"an answer of its own", []string{definite.address}, failure.NotFound},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := New(func() []string { return test.stores }).End(ctx, "j")
		cancel()
		if failure.KindOf(err) != test.want {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}
