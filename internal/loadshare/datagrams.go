package loadshare

import (
	"context"
	"net"
	"sync"
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

// Reporter is what a process tells a hub and learns from it.
type Reporter struct {
	// Hubs returns the addresses among which a hub is looked for, the best first.
	Hubs func() []string
	// Home is set where the first of them is to be gone back to whenever it answers.
	// Otherwise the reporter stays with the hub that answers, or that it is referred to.
	Home bool
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
	r := &reporter{socket: socket, meter: p.Meter, began: time.Now(), chooser: chooser{home: p.Home}}
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
			r.report(p.Hubs(), own)
		}
		timer.Reset(p.Pause())
	}
}

// reporter sends reports to one hub while it answers.
type reporter struct {
	socket *net.UDPConn
	meter  *traffic.Meter
	began  time.Time

	// mutex guards the chooser.
	mutex   sync.Mutex
	chooser chooser
}

func (r *reporter) choose(hubs []string) (target, left string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.chooser.next(time.Since(r.began), hubs)
}

func (r *reporter) report(hubs []string, report *wire.LoadReport) {
	target, left := r.choose(hubs)
	if left != "" {
		// The hub that is left would count this process until its report is too old.
		r.send(left, &wire.LoadReport{Source: report.Source, Sums: report.Sums, Left: true})
	}
	if target != "" {
		r.send(target, report)
	}
}

// send sends a report. One that is lost is made good by the next.
func (r *reporter) send(target string, report *wire.LoadReport) {
	encoded, err := report.MarshalMsg(nil)
	if err != nil {
		return
	}
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return
	}
	_, _ = r.socket.WriteToUDP(encoded, address)
	r.meter.Add(traffic.Loads, target, len(encoded), 0)
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
		if r.heard(report.Hub) {
			learn(time.Now(), report)
		}
	}
}

// heard takes in an answer, and reports whether it is one of a hub rather than one
// that names another.
func (r *reporter) heard(hub string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if hub != "" {
		r.chooser.refer(hub)
		return false
	}
	r.chooser.answered(time.Since(r.began))
	return true
}
