package batchroom

import "time"

// zoneMeanTime is the time constant of the moving mean of the demand by zone. It is long enough to
// cover waves as well as the quiet times between them, because most callers are in the same zones
// during waves and between them.
const zoneMeanTime = 10 * time.Second

// poolZone names a zone of a pool.
type poolZone struct{ pool, zone string }

// zoneDemand is the mean online demand by zone. The zero value is ready for use.
type zoneDemand struct {
	at    time.Time
	means map[poolZone]float64
}

// update adds the present demand to the means.
func (z *zoneDemand) update(now time.Time, workers *Workers) {
	elapsed := now.Sub(z.at)
	if elapsed <= 0 || len(workers.Forecasts) == 0 {
		return
	}
	weight := min(float64(elapsed)/float64(zoneMeanTime), 1)
	z.at = now
	present := map[poolZone]float64{}
	for i := range workers.Busy {
		w := &workers.Busy[i]
		present[poolZone{w.Pool, w.Zone}] += float64(w.Online)
	}
	if z.means == nil {
		z.means = map[poolZone]float64{}
	}
	for zone := range present {
		if _, known := z.means[zone]; !known {
			z.means[zone] = 0
		}
	}
	for zone := range z.means {
		z.means[zone] += weight * (present[zone] - z.means[zone])
	}
}

// factors returns for each zone the ratio of its demand per slot to that of the whole pool. It
// returns nil if the pool has fewer than two zones, or no demand is known.
func (z *zoneDemand) factors(poolForecast *Forecast) map[string]float64 {
	demand, slots := 0.0, 0
	for zone, count := range poolForecast.ZoneSlots {
		demand += z.means[poolZone{poolForecast.Pool, zone}]
		slots += count
	}
	if demand <= 0 || len(poolForecast.ZoneSlots) < 2 {
		return nil
	}
	factors := make(map[string]float64, len(poolForecast.ZoneSlots))
	for zone, count := range poolForecast.ZoneSlots {
		factors[zone] = z.means[poolZone{poolForecast.Pool, zone}] / float64(count) * float64(slots) / demand
	}
	return factors
}
