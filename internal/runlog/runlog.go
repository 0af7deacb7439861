// Package runlog reads what happened in a run from the lines of its processes: by
// second, how many requests came, how long they took and how many items ran; and which
// kinds of message took which bytes. It says what binds, where a report only says what
// was lost.
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

// Second is what happened in one second of a run.
type Second struct {
	// At is the second, counted from the first event.
	At int
	// Arrived counts requests that came, Refused and SentBack those that were not run:
	// the latter for want of room, as they came or while they waited.
	Arrived    int
	Rejected   int
	Overloaded int
	// InFlight is the mean number of requests under way.
	InFlight float64
	// FirstByteMillis are the times to the first byte of those that came.
	FirstByteMillis []int
	// Submitted counts items of jobs that were accepted, Finished those that ended,
	// Stopped runs of items that were stopped. Running is the mean number of runs.
	Submitted int
	Finished  int
	Stopped   int
	Running   float64
}

// Flow is what one kind of message took.
type Flow struct {
	Role      string
	Kind      traffic.Kind
	Locality  Locality
	Exchanges uint64
	Bytes     uint64
}

// Locality says where the other process of an exchange stood.
type Locality string

// Places of the other process.
const (
	SameZone    Locality = "same zone"
	OtherZone   Locality = "other zone"
	UnknownZone Locality = "not known"
)

// Run is a run's summary.
type Run struct {
	Seconds []*Second
	Flows   []Flow
}

// Read sums a run up. zoneOf names the zone of a process by its name, empty where that
// is not known.
func Read(events []record.Event, zoneOf func(process string) string) *Run {
	r := &reader{seconds: map[int]*Second{}, traffic: map[string]*record.Event{}}
	for i := range events {
		if i == 0 || events[i].At.Before(r.began) {
			r.began = events[i].At
		}
	}
	for i := range events {
		r.take(&events[i])
	}
	run := &Run{Flows: r.flows(zoneOf)}
	for _, at := range slices.Sorted(maps.Keys(r.seconds)) {
		second := r.seconds[at]
		slices.Sort(second.FirstByteMillis)
		run.Seconds = append(run.Seconds, second)
	}
	return run
}

// reader gathers a run.
type reader struct {
	began   time.Time
	seconds map[int]*Second
	// traffic holds each process's last line on its traffic, which counts from its
	// start.
	traffic map[string]*record.Event
}

func (r *reader) second(at time.Time) *Second {
	number := int(at.Sub(r.began) / time.Second)
	if r.seconds[number] == nil {
		r.seconds[number] = &Second{At: number}
	}
	return r.seconds[number]
}

func (r *reader) take(event *record.Event) {
	took := time.Duration(event.Uint("ms")) * time.Millisecond
	switch event.Name {
	case "request_done":
		began := event.At.Add(-took)
		r.second(began).Arrived++
		if first, err := strconv.Atoi(event.Field("first_ms")); err == nil && first >= 0 {
			r.second(began).FirstByteMillis = append(r.second(began).FirstByteMillis, first)
		}
		r.spread(began, event.At, func(second *Second, part float64) { second.InFlight += part })
	case "request_refused":
		r.second(event.At).Rejected++
	case "request_sent_back", "queue_refused":
		r.second(event.At).Overloaded++
	case "queue_decided":
		if result := event.Field("result"); result == hopeless || result == crowded {
			r.second(event.At).Overloaded++
		}
	case "job_submitted":
		if event.Field("error") == "null" && event.Field("repeated") == "false" {
			r.second(event.At).Submitted += int(event.Uint("items"))
		}
	case "item_attempt":
		r.spread(event.At.Add(-took), event.At, func(second *Second, part float64) { second.Running += part })
		if event.Field("state") == "waiting" {
			r.second(event.At).Stopped++
		} else {
			r.second(event.At).Finished++
		}
	case "traffic":
		r.traffic[event.Process] = event
	}
}

// spread calls add with the part of each second between two moments.
func (r *reader) spread(from, to time.Time, add func(second *Second, part float64)) {
	if from.Before(r.began) {
		from = r.began
	}
	for from.Before(to) {
		next := r.began.Add((from.Sub(r.began)/time.Second + 1) * time.Second)
		if next.After(to) {
			next = to
		}
		add(r.second(from), next.Sub(from).Seconds())
		from = next
	}
}

// flowKey names a flow.
type flowKey struct {
	role  string
	kind  traffic.Kind
	place Locality
}

func (r *reader) flows(zoneOf func(process string) string) []Flow {
	sums := map[flowKey]*Flow{}
	for process, event := range r.traffic {
		event.Each(func(field, value string) {
			kind, zone, isFlow := strings.Cut(field, "@")
			exchanges, sent, received, whole := counts(value)
			if !isFlow || !whole {
				return
			}
			key := flowKey{event.Role, traffic.Kind(kind), placeOf(zone, zoneOf(process))}
			if sums[key] == nil {
				sums[key] = &Flow{Role: key.role, Kind: key.kind, Locality: key.place}
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

func placeOf(zone, own string) Locality {
	switch {
	case zone == traffic.Unknown || own == "":
		return UnknownZone
	case zone == own:
		return SameZone
	}
	return OtherZone
}

// counts reads EXCHANGES:SENT:RECEIVED, as the daemon writes it.
func counts(value string) (exchanges, sent, received uint64, whole bool) {
	_, err := fmt.Sscanf(value, "%d:%d:%d", &exchanges, &sent, &received)
	return exchanges, sent, received, err == nil
}

// hopeless and crowded are the results of requests that an edge's queue refuses as they come.
var (
	hopeless = admission.DeadlineTooSoon.String()
	crowded  = admission.QueueFull.String()
)

const hundredths = 100

// quantile returns the value below which so many hundredths of the sorted values lie.
func quantile(sorted []int, part int) int {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*part/hundredths]
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
