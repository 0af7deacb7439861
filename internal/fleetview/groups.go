package fleetview

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxGroups bounds the group numbers that are accepted in reports.
const maxGroups = 1024

// leaderReport is a process's report that it leads a group.
type leaderReport struct {
	process *process
	report  *wire.GroupReport
}

// groupPlaces returns the leader and members of each store group, from the reports of the
// leaders. The members of a group without a leader are kept, so that callers look for the next
// leader among them.
func (v *View) groupPlaces(now time.Time) []wire.GroupPlace {
	leaders := v.leaderReports(now)
	count := len(v.Current.Groups)
	for number := range leaders {
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
		if leader, found := leaders[number]; found {
			places[number] = wire.GroupPlace{Leader: leader.process.report.Replica.Address, Members: v.addressesOf(leader.report.Members)}
		}
	}
	return places
}

// leaderReports returns the report of each group's leader. If several processes report to lead a
// group, the one with the newest term counts.
func (v *View) leaderReports(now time.Time) map[int]leaderReport {
	leaders := map[int]leaderReport{}
	for _, reporter := range v.processes {
		if reporter.report.Kind != wire.ProcessStore || now.Sub(reporter.lastSeenAt) > ProcessTTL {
			continue
		}
		for i := range reporter.report.Led {
			led := &reporter.report.Led[i]
			if led.Group < 0 || led.Group >= maxGroups {
				continue
			}
			if previous, found := leaders[led.Group]; !found || led.Term > previous.report.Term {
				leaders[led.Group] = leaderReport{process: reporter, report: led}
			}
		}
	}
	return leaders
}

// addressesOf returns the addresses of the named stores in ascending order.
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
