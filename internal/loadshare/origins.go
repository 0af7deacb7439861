package loadshare

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// originHubs is the number of hubs that keep the origin of a stream. One of them may be lost without
// losing the origin.
const originHubs = 2

// lookupWaits are the times to wait for the answers to each round of a lookup. The first round asks
// the hubs that processes of this zone send origins to, the others ask all hubs without an answer. The
// last rounds are for hubs that are just starting.
var lookupWaits = [...]time.Duration{12 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}

// originAnswer is a hub's answer to a lookup, without an origin if the hub knows none.
type originAnswer struct {
	hub    string
	origin *wire.StreamOrigin
}

// maxOriginsPerReport keeps reports on origins well below maxDatagram.
const maxOriginsPerReport = 256

// OriginHubs returns those of the hubs that keep the origins of streams.
func OriginHubs(hubs []string) []string { return hubs[:min(len(hubs), originHubs)] }

// SendOrigins sends origins of streams to the hubs that keep them. It does not wait for an answer.
func (x *Exchange) SendOrigins(origins []wire.StreamOrigin) {
	hubs := OriginHubs(x.reporter.Hubs())
	for part := range slices.Chunk(origins, maxOriginsPerReport) {
		x.sendOrigins(hubs, &wire.LoadReport{Origins: part})
	}
}

// LookupOrigin asks the hubs for the origin of a stream. It returns nil if no hub knows the origin or
// none that does answers; complete is set if all hubs have answered that they know none.
func (x *Exchange) LookupOrigin(ctx context.Context, stream uint64) (origin *wire.StreamOrigin, complete bool) {
	answers, answered := make(chan originAnswer, maxLookupAnswers), map[string]bool{}
	x.addLookup(stream, answers)
	defer x.removeLookup(stream, answers)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round, wait := range lookupWaits {
		hubs := x.reporter.Hubs()
		asked := hubs
		if round == 0 {
			asked = OriginHubs(hubs)
		}
		asked = unanswered(asked, answered)
		x.sendOrigins(asked, &wire.LoadReport{Lookups: []uint64{stream}})
		timer.Reset(wait)
		for waiting := true; waiting; {
			select {
			case answer := <-answers:
				if answer.origin != nil {
					return answer.origin, true
				}
				answered[answer.hub] = true
				waiting = len(unanswered(asked, answered)) > 0
			case <-timer.C:
				waiting = false
			case <-ctx.Done():
				return nil, false
			}
		}
		if len(hubs) > 0 && len(unanswered(hubs, answered)) == 0 {
			return nil, true
		}
	}
	return nil, false
}

// maxLookupAnswers bounds the answers that wait for a lookup to read them.
const maxLookupAnswers = 64

// unanswered returns the hubs that have not answered.
func unanswered(hubs []string, answered map[string]bool) []string {
	return slices.DeleteFunc(slices.Clone(hubs), func(hub string) bool { return answered[hub] })
}

// sendOrigins sends a report on origins to hubs. Hubs of earlier builds take it for that of a source
// that leaves, which none is registered under, and ignore it.
func (x *Exchange) sendOrigins(hubs []string, report *wire.LoadReport) {
	x.mutex.Lock()
	socket := x.socket
	x.mutex.Unlock()
	if socket == nil {
		return
	}
	report.Left = true
	for _, hub := range hubs {
		x.sendDatagram(socket, hub, report)
	}
}

func (x *Exchange) addLookup(stream uint64, answers chan originAnswer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.lookups[stream] = append(x.lookups[stream], answers)
}

func (x *Exchange) removeLookup(stream uint64, answers chan originAnswer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	left := slices.DeleteFunc(x.lookups[stream], func(other chan originAnswer) bool { return other == answers })
	if x.lookups[stream] = left; len(left) == 0 {
		delete(x.lookups, stream)
	}
}

// isOriginAnswer reports whether a report answers a lookup.
func isOriginAnswer(report *wire.LoadReport) bool {
	return len(report.Origins)+len(report.Unknown) > 0
}

// handleOrigins passes a hub's answer to the lookups that wait for it.
func (x *Exchange) handleOrigins(hub net.Addr, report *wire.LoadReport) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	deliver := func(stream uint64, answer originAnswer) {
		for _, answers := range x.lookups[stream] {
			select {
			case answers <- answer:
			default:
				// The lookup has more answers than it can use.
			}
		}
	}
	for i := range report.Origins {
		deliver(report.Origins[i].Stream, originAnswer{hub.String(), &report.Origins[i]})
	}
	for _, stream := range report.Unknown {
		deliver(stream, originAnswer{hub: hub.String()})
	}
}
