package fleetwatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/traffic"
)

// manyEdges is the target's number of processes.
const manyEdges = 330

// BenchmarkRefusalReachesAll: the time from the third end to the refusal at the last of 330
// processes, all on this machine, and the bytes that each of them got for it.
func BenchmarkRefusalReachesAll(b *testing.B) {
	all, meters := watchers(b, startCoordinator(b), manyEdges)
	request := quarantine.Fingerprint(1)
	before := received(meters)
	for b.Loop() {
		request++
		for number := range quarantine.Threshold {
			all[number].Quarantine().RecordExit(clock.Now(), request, fmt.Sprintf("w-%d", number), time.Time{})
		}
		for _, w := range all {
			await(b, stands(w, request, quarantine.Refused))
		}
	}
	b.ReportMetric(float64(received(meters)-before)/float64(b.N)/manyEdges, "bytes/edge")
}

func received(meters []*traffic.Meter) (bytes uint64) {
	for _, meter := range meters {
		for _, row := range meter.Rows() {
			bytes += row.Received
		}
	}
	return bytes
}
