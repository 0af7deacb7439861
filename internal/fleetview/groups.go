package fleetview

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxGroups bounds the numbers of store groups that reports may name.
const maxGroups = 1024

// claim is a process's report that it leads a group.
type claim struct {
	process *process
	report  *wire.GroupReport
}

// groups returns where the store groups are, by the reports of their leaders. The
// members of a group whose leader is gone stay known, so that callers look for the
// next leader among them.
func (v *View) groups(now time.Time) []wire.GroupPlace {
	claims := v.claims(now)
	count := len(v.Current.Groups)
	for number := range claims {
		count = max(count, number+1)
	}
	if count == 0 {
		return nil
	}
	places := make([]wire.GroupPlace, count)
	for number := range places {
		if number < len(v.Current.Groups) {
			places[number].Members = v.Current.Groups[number].Members
		}
		if won, found := claims[number]; found {
			places[number] = wire.GroupPlace{Leader: won.process.report.Replica.Address, Members: v.addressesOf(won.report.Members)}
		}
	}
	return places
}

// claims returns who leads each group: of several that say so the one of the newest
// term.
func (v *View) claims(now time.Time) map[int]claim {
	claims := map[int]claim{}
	for _, known := range v.processes {
		if known.report.Kind != wire.ProcessStore || now.Sub(known.at) > ProcessTTL {
			continue
		}
		for i := range known.report.Led {
			led := &known.report.Led[i]
			if led.Group < 0 || led.Group >= maxGroups {
				continue
			}
			if before, found := claims[led.Group]; !found || led.Term > before.report.Term {
				claims[led.Group] = claim{process: known, report: led}
			}
		}
	}
	return claims
}

// addressesOf returns the addresses of the stores of the names, in order.
func (v *View) addressesOf(names []string) []string {
	var addresses []string
	for _, name := range names {
		if known := v.processes[name]; known != nil && known.report.Replica.Address != "" {
			addresses = append(addresses, known.report.Replica.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func samePlace(a, b wire.GroupPlace) bool {
	return a.Leader == b.Leader && slices.Equal(a.Members, b.Members)
}
