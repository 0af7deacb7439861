package batchroom

import "time"

// zoneTime is over how long the need by zone is a mean, about: long enough that calm parts
// and waves are both in it, as most callers' zones are the same ones in both.
const zoneTime = 10 * time.Second

// poolZone names a zone of a pool.
type poolZone struct{ pool, zone string }

// zoneNeeds is the mean online need by zone. The zero value is ready for use.
type zoneNeeds struct {
	at    time.Time
	means map[poolZone]float64
}

// take takes in the present need.
func (z *zoneNeeds) take(now time.Time, places *Workers) {
	passed := now.Sub(z.at)
	if passed <= 0 || len(places.Forecasts) == 0 {
		return
	}
	part := min(float64(passed)/float64(zoneTime), 1)
	z.at = now
	present := map[poolZone]float64{}
	for i := range places.Busy {
		place := &places.Busy[i]
		present[poolZone{place.Pool, place.Zone}] += float64(place.Online)
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
		z.means[zone] += part * (present[zone] - z.means[zone])
	}
}

// of returns by how many times the need of a slot in each zone differs from that in the
// whole pool, nil where that is not known of all zones.
func (z *zoneNeeds) of(outlook *Forecast) map[string]float64 {
	need, slots := 0.0, 0
	for zone, count := range outlook.ZoneSlots {
		need += z.means[poolZone{outlook.Pool, zone}]
		slots += count
	}
	if need <= 0 || len(outlook.ZoneSlots) < 2 {
		return nil
	}
	times := make(map[string]float64, len(outlook.ZoneSlots))
	for zone, count := range outlook.ZoneSlots {
		times[zone] = z.means[poolZone{outlook.Pool, zone}] / float64(count) * float64(slots) / need
	}
	return times
}
