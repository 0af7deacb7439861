// Package runlog summarizes a run from the logs of its processes: for each second the number of
// requests, their times to the first byte and the number of batch items, and for each kind of message
// the bytes that were exchanged. It helps to find what limited a run, while the report of a run shows
// only what was lost.
package runlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sedgemast/sedgemast/internal/admission"
	"github.com/sedgemast/sedgemast/internal/record"
	"github.com/sedgemast/sedgemast/internal/traffic"
)

// Second holds the counts of one second of a run.
type Second struct {
	// At is the number of the second since the first event.
	At int
	// Arrived counts the requests that arrived in the second and were answered later. Rejected and
	// Overloaded count the requests that were not run. Overloaded counts the requests that were
	// rejected for lack of capacity, on arrival or while queued.
	Arrived    int
	Rejected   int
	Overloaded int
	// InFlight is the mean number of requests in flight.
	InFlight float64
	// FirstByteMillis holds the times to the first byte of the requests that arrived.
	FirstByteMillis []int
	// Submitted counts the items of accepted jobs. Finished counts the items that finished. Stopped
	// counts the attempts at items that were stopped. Running is the mean number of attempts in
	// progress.
	Submitted int
	Finished  int
	Stopped   int
	Running   float64
}

// Flow holds the number and the bytes of exchanges of one kind of message. Role is the role of the
// process that logged them.
type Flow struct {
	Role      string
	Kind      traffic.Kind
	Locality  Locality
	Exchanges uint64
	Bytes     uint64
}

// Locality says in which zone the other process of an exchange is.
type Locality string

// Localities of the other process.
const (
	SameZone    Locality = "same zone"
	OtherZone   Locality = "other zone"
	UnknownZone Locality = "not known"
)

// Run is the summary of a run.
type Run struct {
	Seconds []*Second
	Flows   []Flow
}

// Read summarizes the events of a run. zoneOf returns the zone of the process with the given name,
// empty if unknown.
func Read(events []record.Event, zoneOf func(process string) string) *Run {
	s := &summarizer{seconds: map[int]*Second{}, traffic: map[string]*record.Event{}}
	for i := range events {
		if i == 0 || events[i].At.Before(s.start) {
			s.start = events[i].At
		}
	}
	for i := range events {
		s.observe(&events[i])
	}
	run := &Run{Flows: s.flows(zoneOf)}
	for _, at := range slices.Sorted(maps.Keys(s.seconds)) {
		second := s.seconds[at]
		slices.Sort(second.FirstByteMillis)
		run.Seconds = append(run.Seconds, second)
	}
	return run
}

// summarizer builds the summary of a run.
type summarizer struct {
	start   time.Time
	seconds map[int]*Second
	// traffic holds the last traffic event of each process. Its counts are totals since the start of
	// the process.
	traffic map[string]*record.Event
}

func (s *summarizer) second(at time.Time) *Second {
	number := int(at.Sub(s.start) / time.Second)
	if s.seconds[number] == nil {
		s.seconds[number] = &Second{At: number}
	}
	return s.seconds[number]
}

func (s *summarizer) observe(event *record.Event) {
	duration := time.Duration(event.Uint("ms")) * time.Millisecond
	switch event.Name {
	case "request_done":
		arrived := event.At.Add(-duration)
		s.second(arrived).Arrived++
		if first, err := strconv.Atoi(event.Field("first_ms")); err == nil && first >= 0 {
			s.second(arrived).FirstByteMillis = append(s.second(arrived).FirstByteMillis, first)
		}
		s.addPerSecond(arrived, event.At, func(second *Second, part float64) { second.InFlight += part })
	case "request_refused":
		s.second(event.At).Rejected++
	case "request_sent_back", "queue_refused":
		s.second(event.At).Overloaded++
	case "queue_decided":
		if result := event.Field("result"); result == deadlineTooSoon || result == queueFull {
			s.second(event.At).Overloaded++
		}
	case "job_submitted":
		if event.Field("error") == "null" && event.Field("repeated") == "false" {
			s.second(event.At).Submitted += int(event.Uint("items"))
		}
	case "item_attempt":
		s.addPerSecond(event.At.Add(-duration), event.At, func(second *Second, part float64) { second.Running += part })
		if event.Field("state") == "waiting" {
			s.second(event.At).Stopped++
		} else {
			s.second(event.At).Finished++
		}
	case "traffic":
		s.traffic[event.Process] = event
	}
}

// addPerSecond calls add for each second between from and to, with the fraction of that second that
// lies between from and to.
func (s *summarizer) addPerSecond(from, to time.Time, add func(second *Second, part float64)) {
	if from.Before(s.start) {
		from = s.start
	}
	for from.Before(to) {
		next := s.start.Add((from.Sub(s.start)/time.Second + 1) * time.Second)
		if next.After(to) {
			next = to
		}
		add(s.second(from), next.Sub(from).Seconds())
		from = next
	}
}

// flowKey identifies a flow.
type flowKey struct {
	role     string
	kind     traffic.Kind
	locality Locality
}

func (s *summarizer) flows(zoneOf func(process string) string) []Flow {
	sums := map[flowKey]*Flow{}
	for process, event := range s.traffic {
		event.Each(func(field, value string) {
			kind, zone, isFlow := strings.Cut(field, "@")
			exchanges, sent, received, valid := parseCounts(value)
			if !isFlow || !valid {
				return
			}
			key := flowKey{event.Role, traffic.Kind(kind), localityOf(zone, zoneOf(process))}
			if sums[key] == nil {
				sums[key] = &Flow{Role: key.role, Kind: key.kind, Locality: key.locality}
			}
			sums[key].Exchanges += exchanges
			sums[key].Bytes += sent + received
		})
	}
	flows := make([]Flow, 0, len(sums))
	for _, flow := range sums {
		flows = append(flows, *flow)
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Locality, b.Locality))
	})
	return flows
}

func localityOf(zone, ownZone string) Locality {
	switch {
	case zone == traffic.Unknown || ownZone == "":
		return UnknownZone
	case zone == ownZone:
		return SameZone
	}
	return OtherZone
}

// parseCounts parses EXCHANGES:SENT:RECEIVED, as daemons log it.
func parseCounts(value string) (exchanges, sent, received uint64, valid bool) {
	_, err := fmt.Sscanf(value, "%d:%d:%d", &exchanges, &sent, &received)
	return exchanges, sent, received, err == nil
}

// deadlineTooSoon and queueFull are the logged results of requests that an edge's queue rejects on
// arrival.
var (
	deadlineTooSoon = admission.DeadlineTooSoon.String()
	queueFull       = admission.QueueFull.String()
)

const hundredPercent = 100

// quantile returns the given percentile of the sorted values, or zero if there are none.
func quantile(sorted []int, percentile int) int {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*percentile/hundredPercent]
}

// Print writes the run as two tables.
func (r *Run) Print(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "second\tarrived\trefused\tsent back\tin flight\tfirst p50 ms\tp90\tp99\titems accepted\trunning\tfinished\tstopped\t")
	for _, s := range r.Seconds {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t\n", s.At, s.Arrived, s.Rejected, s.Overloaded, s.InFlight,
			quantile(s.FirstByteMillis, 50), quantile(s.FirstByteMillis, 90), quantile(s.FirstByteMillis, 99), s.Submitted, s.Running, s.Finished, s.Stopped)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(to)
	table = tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tmessage\tother process\texchanges\tkB")
	for _, flow := range r.Flows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", flow.Role, flow.Kind, flow.Locality, flow.Exchanges, flow.Bytes/1000)
	}
	return table.Flush()
}
