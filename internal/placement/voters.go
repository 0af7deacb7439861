package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minGroups is the number of groups of a small fleet; its leaders share the work.
	minGroups = 3
	// MaxGroups bounds the number of groups. Each group costs about 100 heartbeats per second
	// among its members, and a loop at every store.
	MaxGroups = 9
)

// GroupCount returns the number of store groups that a fleet is bootstrapped with: stores divided by
// voters per group, within minGroups and MaxGroups.
func GroupCount(stores, voters int) int {
	return min(max(stores/max(voters, 1), minGroups), MaxGroups)
}

// Candidate is a store that may become a voter of groups.
type Candidate struct {
	ID   uint64
	Zone string
}

// InitialVoters returns the ids of the first voters of each group. Within a group the voters are
// spread over the zones; every store votes in about the same number of groups. A hash of group and
// store breaks ties, so that the result doesn't depend on the order of ids.
func InitialVoters(candidates []Candidate, groups, voters int) [][]uint64 {
	groupsOf := map[uint64]int{}
	chosen := make([][]uint64, groups)
	for group := range chosen {
		remaining := slices.Clone(candidates)
		inZone := map[string]int{}
		for len(chosen[group]) < voters && len(remaining) > 0 {
			best := slices.MinFunc(remaining, func(a, b Candidate) int {
				return cmp.Or(
					cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
					cmp.Compare(groupsOf[a.ID], groupsOf[b.ID]),
					cmp.Compare(Rank(group, a.ID), Rank(group, b.ID)),
				)
			})
			chosen[group] = append(chosen[group], best.ID)
			inZone[best.Zone]++
			groupsOf[best.ID]++
			remaining = slices.DeleteFunc(remaining, func(c Candidate) bool { return c.ID == best.ID })
		}
	}
	return chosen
}

// Rank returns the sort key of a store for a group; the order of stores differs between groups.
func Rank(group int, id uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(group))
	binary.LittleEndian.PutUint64(key[8:], id)
	return xxhash.Sum64(key[:])
}
