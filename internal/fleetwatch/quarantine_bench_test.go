package fleetwatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/traffic"
)

// edgeCount is the number of processes that a fleet of the target size has.
const edgeCount = 330

// BenchmarkRefusalReachesAll measures the time from the third exit to the refusal at the last of
// 330 processes, all on one machine, and the bytes that each of them received for it.
func BenchmarkRefusalReachesAll(b *testing.B) {
	all, meters := startWatchers(b, startCoordinator(b), edgeCount)
	request := quarantine.Fingerprint(1)
	before := received(meters)
	for b.Loop() {
		request++
		for number := range quarantine.Threshold {
			all[number].Quarantine().RecordExit(clock.Now(), &quarantine.Subject{Request: request}, fmt.Sprintf("w-%d", number), time.Time{})
		}
		for _, w := range all {
			waitFor(b, hasStanding(w, request, quarantine.Refused))
		}
	}
	b.ReportMetric(float64(received(meters)-before)/float64(b.N)/edgeCount, "bytes/edge")
}

func received(meters []*traffic.Meter) (bytes uint64) {
	for _, meter := range meters {
		for _, row := range meter.Rows() {
			bytes += row.Received
		}
	}
	return bytes
}
