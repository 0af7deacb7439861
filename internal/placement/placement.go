// Package placement says which store group keeps a job, and which store leads which
// group. It is pure.
//
// Jobs are spread by their ids over a number of groups, each with a log, voters and a
// leader of its own. A leader runs the items of its group's jobs, so the loss of one
// store re-runs only what that store ran, and no store's processor or disk carries all.
package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// GroupOf returns the number of the group that keeps the job, of so many groups. Their
// number can't change once stores have formed: a job's group follows from it. It is -1
// while there are none.
func GroupOf(job string, groups int) int {
	if groups <= 0 {
		return -1
	}
	return int(xxhash.Sum64String(job) % uint64(groups))
}

// Transfer is a hand-over of a group's leadership to another replica.
type Transfer struct {
	Group int
	To    uint64
}

// leastLead is by how many groups a leader must be ahead of another replica before
// it hands one over: fewer would move leaderships to and fro.
const leastLead = 2

// RebalanceLeaders returns a hand-over after which the groups are led by more replicas, or
// false. leaders holds the leaders of the groups that this store is a member of, zero
// where one is not known, and ready returns the replicas that could take over a group
// that self leads.
func RebalanceLeaders(self uint64, leaders map[int]uint64, ready func(group int) []uint64) (Transfer, bool) {
	led := map[uint64]int{}
	for _, leader := range leaders {
		if leader == 0 {
			return Transfer{}, false
		}
		led[leader]++
	}
	for _, group := range slices.Sorted(maps.Keys(leaders)) {
		if leaders[group] != self {
			continue
		}
		candidates := ready(group)
		if len(candidates) == 0 {
			continue
		}
		to := slices.MinFunc(candidates, func(a, b uint64) int { return cmp.Or(cmp.Compare(led[a], led[b]), cmp.Compare(a, b)) })
		if led[self]-led[to] >= leastLead {
			return Transfer{Group: group, To: to}, true
		}
	}
	return Transfer{}, false
}
