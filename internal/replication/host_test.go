package replication

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// localNetwork connects the hosts of a test without sockets.
type localNetwork struct {
	mutex sync.Mutex
	hosts map[string]*Host
}

// localTransport is the Transport of one host in a localNetwork. It delivers messages to a
// host in order and in batches.
type localTransport struct {
	network *localNetwork
	context context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	queues  map[string]chan wire.PeerMessage
}

func (n *localNetwork) host(address string) *Host {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.hosts[address]
}

func (n *localNetwork) transport() *localTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &localTransport{network: n, context: ctx, cancel: cancel, queues: map[string]chan wire.PeerMessage{}}
}

// Send implements Transport.
func (l *localTransport) Send(address string, message wire.PeerMessage) {
	l.mutex.Lock()
	queue := l.queues[address]
	if queue == nil {
		queue = make(chan wire.PeerMessage, maxQueuedMessages)
		l.queues[address] = queue
		go l.serve(address, queue)
	}
	l.mutex.Unlock()
	select {
	case queue <- message:
	default:
	}
}

func (l *localTransport) serve(address string, queue chan wire.PeerMessage) {
	for {
		select {
		case <-l.context.Done():
			return
		case first := <-queue:
			if host := l.network.host(address); host != nil {
				// The host returns an error if it is closing; the messages are lost then.
				_ = host.Receive(l.context, collectBatch(first, queue))
			}
		}
	}
}

var errNoHost = errors.New("no host at this address")

// Hello implements Transport.
func (l *localTransport) Hello(ctx context.Context, address string, hello *wire.Hello) (*wire.Hello, error) {
	host := l.network.host(address)
	if host == nil {
		return nil, errNoHost
	}
	return host.HandleHello(ctx, hello)
}

// Close implements Transport.
func (l *localTransport) Close() { l.cancel() }

// countingStore counts the commits with a sync.
type countingStore struct {
	storage.Store
	syncs *atomic.Int64
}

// Commit implements storage.Store.
func (c countingStore) Commit(mutations []storage.Mutation, sync bool) error {
	if sync {
		c.syncs.Add(1)
	}
	return c.Store.Commit(mutations, sync)
}

// register is a state machine that stores the last command.
type register struct{ last []byte }

// Apply implements StateMachine.
func (r *register) Apply(command []byte) ([]byte, []storage.Mutation) {
	r.last = command
	return command, []storage.Mutation{{Key: []byte("last"), Value: command}}
}

// Restore implements StateMachine.
func (r *register) Restore(reader storage.Reader) (err error) {
	r.last, err = reader.Get([]byte("last"))
	return err
}

// startHosts starts the hosts of a cluster; open returns the store of each.
func startHosts(tb testing.TB, voters, groups int, open func(number int) storage.Store) []*Host {
	tb.Helper()
	network := &localNetwork{hosts: map[string]*Host{}}
	var peers []string
	for number := 0; number < voters; number++ {
		peers = append(peers, fmt.Sprintf("host-%d", number))
	}
	var hosts []*Host
	for number, address := range peers {
		var machines []StateMachine
		for group := 0; group < groups; group++ {
			machines = append(machines, &register{})
		}
		host, err := NewHost(Options{
			Store:             open(number),
			Machines:          machines,
			Name:              address,
			Address:           address,
			Peers:             peers,
			Voters:            voters,
			NewID:             func() uint64 { return uint64(number + 1) },
			ElectionTimeout:   300 * time.Millisecond,
			HeartbeatInterval: 60 * time.Millisecond,
			ReplaceAfter:      time.Minute,
			RetainedLogBytes:  1 << 20,
			Random:            rand.New(rand.NewPCG(uint64(number), 1)),
		}, network.transport())
		if err != nil {
			tb.Fatal(err)
		}
		network.mutex.Lock()
		network.hosts[address] = host
		network.mutex.Unlock()
		hosts = append(hosts, host)
		tb.Cleanup(host.Close)
	}
	return hosts
}

// proposeAnywhere commits a command through the leader of the group. It tries the hosts in
// turn and updates leaders.
func proposeAnywhere(ctx context.Context, hosts []*Host, leaders []int, group int, command []byte) error {
	for ctx.Err() == nil {
		_, err := hosts[leaders[group]].Propose(ctx, group, command)
		if err == nil {
			return nil
		}
		leaders[group] = (leaders[group] + 1) % len(hosts)
		time.Sleep(time.Millisecond)
	}
	return ctx.Err()
}

// TestHostsAgree commits commands in several groups on three hosts and checks that the leaders
// return the last command.
func TestHostsAgree(t *testing.T) {
	const groups = 3
	hosts := startHosts(t, 3, groups, func(int) storage.Store { return storage.NewMemory() })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leaders := make([]int, groups)
	for round := 0; round < 20; round++ {
		for group := 0; group < groups; group++ {
			if err := proposeAnywhere(ctx, hosts, leaders, group, fmt.Appendf(nil, "%d", round)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for group := 0; group < groups; group++ {
		var read []byte
		err := hosts[leaders[group]].Read(group, func(_ uint64, reader storage.Reader) (err error) {
			read, err = reader.Get([]byte("last"))
			return err
		})
		if err != nil || string(read) != "19" {
			t.Errorf("group %d reads %q (%v)", group, read, err)
		}
	}
}

// BenchmarkWrites commits commands of 256 bytes on five hosts with stores on disk: 256
// concurrent writers, spread over 1, 4 and 16 groups. It reports the committed writes per
// second, and the syncs per second of one host.
func BenchmarkWrites(b *testing.B) {
	for _, groups := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var syncs [5]atomic.Int64
			hosts := startHosts(b, len(syncs), groups, func(number int) storage.Store {
				store, err := storage.OpenPebble(b.TempDir(), vfs.Default)
				if err != nil {
					b.Fatal(err)
				}
				return countingStore{store, &syncs[number]}
			})
			benchmarkWrites(b, hosts, groups, &syncs[0])
		})
	}
}

func benchmarkWrites(b *testing.B, hosts []*Host, groups int, syncs *atomic.Int64) {
	const writers = 256
	ctx := context.Background()
	initialLeaders := make([]int, groups)
	for group := range initialLeaders {
		if err := proposeAnywhere(ctx, hosts, initialLeaders, group, []byte("warm")); err != nil {
			b.Fatal(err)
		}
	}
	command := make([]byte, 256)
	var next atomic.Int64
	var running sync.WaitGroup
	before := syncs.Load()
	b.ResetTimer()
	for writer := 0; writer < writers; writer++ {
		running.Add(1)
		go func() {
			defer running.Done()
			leaders := append([]int(nil), initialLeaders...)
			for next.Add(1) <= int64(b.N) {
				if err := proposeAnywhere(ctx, hosts, leaders, writer%groups, command); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	running.Wait()
	b.StopTimer()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(b.N)/seconds, "writes/s")
	b.ReportMetric(float64(syncs.Load()-before)/seconds, "syncs/s")
}
