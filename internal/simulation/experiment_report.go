package simulation

import (
	"fmt"
	"io"
)

const microsPerMilli = 1000.0

// PrintExperiment writes the variants as a table. The ratios compare a variant with the variant
// that runs online work alone. The bound of batch work is the throughput of the variant that runs
// batch work alone, less the fraction of slot time that online work used.
func PrintExperiment(out io.Writer, variants []*Measurement) {
	var onlineAlone, batchAlone *Measurement
	for _, m := range variants {
		switch {
		case !m.Variant.Batch:
			onlineAlone = m
		case !m.Variant.Online:
			batchAlone = m
		}
	}
	fmt.Fprintln(out, "| variant | first token p50 / p99 ms | ratio of p99 | between tokens p50 / p99 ms | ratio of p99 | batch tokens/s (lowest..highest seed) | share of the bound | preemptions | preemption p99 ms | completed of requested | violations |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, m := range variants {
		bound := 0.0
		if batchAlone != nil {
			bound = mean(batchAlone.BatchTokens) * (1 - mean(m.OnlineShare))
		}
		fmt.Fprintf(out, "| %s | %.1f / %.1f | %s | %.1f / %.1f | %s | %.0f (%.0f..%.0f) | %s | %d | %.1f | %d of %d | %d |\n",
			m.Variant.Name,
			millisOf(m, true, 50), millisOf(m, true, 99), ratio(millisOf(m, true, 99), millisOf(onlineAlone, true, 99)),
			millisOf(m, false, 50), millisOf(m, false, 99), ratio(millisOf(m, false, 99), millisOf(onlineAlone, false, 99)),
			mean(m.BatchTokens), lowest(m.BatchTokens), highest(m.BatchTokens), ratio(mean(m.BatchTokens), bound),
			m.Preemptions, float64(m.PreemptionLatency.ValueAtQuantile(99))/microsPerMilli, m.Completed, m.Requests, len(m.Violations))
	}
}

// millisOf returns a percentile in milliseconds: of the time to the first token if first is set,
// otherwise of the time between tokens.
func millisOf(m *Measurement, first bool, percentile float64) float64 {
	if m == nil {
		return 0
	}
	histogram := m.Gap
	if first {
		histogram = m.FirstToken
	}
	return float64(histogram.ValueAtQuantile(percentile)) / microsPerMilli
}

func ratio(value, base float64) string {
	if base == 0 || value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value/base)
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / max(float64(len(values)), 1)
}

func lowest(values []float64) float64 {
	least := 0.0
	for index, value := range values {
		if index == 0 || value < least {
			least = value
		}
	}
	return least
}

func highest(values []float64) float64 {
	most := 0.0
	for _, value := range values {
		most = max(most, value)
	}
	return most
}
