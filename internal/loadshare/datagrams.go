package loadshare

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxDatagram bounds a report; what does not fit is left out.
const maxDatagram = 60 << 10

// Serve answers reports at the address until ctx ends. answer returns what the
// sender is told, or nothing if it is to ask elsewhere.
func Serve(ctx context.Context, address string, answer func(report *wire.LoadReport) *wire.LoadReport) error {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "correct the address", "load reports have no address")
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "free the address", "load reports can't be taken")
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		count, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		report := &wire.LoadReport{}
		if _, err := report.UnmarshalMsg(buffer[:count]); err != nil {
			continue
		}
		if reply := answer(report); reply != nil {
			// A lost answer is made good by the next.
			if encoded, err := reply.MarshalMsg(nil); err == nil {
				_, _ = socket.WriteToUDPAddrPort(encoded, sender)
			}
		}
	}
}

// silence is how long a hub may be silent before another is asked.
const silence = 2*MaxInterval + Interval

// Reporter is what a process tells a hub and learns from it.
type Reporter struct {
	// Hubs returns the addresses among which a hub is looked for.
	Hubs func() []string
	// Own returns what this process has, or nil if there is nothing to tell.
	Own func() *wire.LoadReport
	// Learn takes in the hub's answer, which says what the others have.
	Learn func(now time.Time, answer *wire.LoadReport)
	// Pause returns the time to the next report, see Pause.
	Pause func() time.Duration
	// Meter counts the exchanges; it may be nil.
	Meter *traffic.Meter
}

// Report tells a hub what this process has, again and again, until ctx ends.
func Report(ctx context.Context, p *Reporter) error {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "free descriptors", "loads can't be told")
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	r := &reporter{socket: socket, began: time.Now(), meter: p.Meter}
	go r.receive(ctx, p.Learn)
	timer := time.NewTimer(Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if own := p.Own(); own != nil {
			r.send(p.Hubs(), own)
		}
		timer.Reset(p.Pause())
	}
}

// reporter sends reports to one hub while it answers.
type reporter struct {
	socket *net.UDPConn
	meter  *traffic.Meter
	next   int
	target string
	// since is when the target was chosen, heard when a hub last answered, in
	// nanoseconds of the steady clock since began.
	began time.Time
	since time.Duration
	heard atomic.Int64
	// referred is the hub that another process has named, until it is asked.
	referred atomic.Pointer[string]
}

func (r *reporter) send(hubs []string, report *wire.LoadReport) {
	now := time.Since(r.began)
	if referred := r.referred.Swap(nil); referred != nil && *referred != r.target {
		r.target, r.since = *referred, now
	}
	if r.target == "" || now-max(r.since, time.Duration(r.heard.Load())) > silence {
		if len(hubs) == 0 {
			return
		}
		r.next++
		r.target, r.since = hubs[r.next%len(hubs)], now
	}
	encoded, err := report.MarshalMsg(nil)
	if err != nil {
		return
	}
	address, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	// A lost report is made good by the next.
	_, _ = r.socket.WriteToUDP(encoded, address)
	r.meter.Add(traffic.Loads, r.target, len(encoded), 0)
}

func (r *reporter) receive(ctx context.Context, learn func(now time.Time, answer *wire.LoadReport)) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		count, sender, err := r.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		r.meter.Received(traffic.Loads, sender.String(), count)
		report := &wire.LoadReport{}
		if _, err := report.UnmarshalMsg(buffer[:count]); err != nil {
			continue
		}
		if report.Hub != "" {
			r.referred.Store(&report.Hub)
			continue
		}
		r.heard.Store(int64(time.Since(r.began)))
		learn(time.Now(), report)
	}
}
