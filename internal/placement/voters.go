package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastGroups is how many groups a small fleet has: their leaders share the work.
	leastGroups = 3
	// MaxGroups bounds the number of groups. Each costs its heartbeats, about 100 a
	// second between its members, and a loop at every store.
	MaxGroups = 9
)

// GroupCount returns how many store groups a fleet forms with: as many as there are sets
// of so many voters among its stores.
func GroupCount(stores, voters int) int {
	return min(max(stores/max(voters, 1), leastGroups), MaxGroups)
}

// Candidate is a store that may become a voter.
type Candidate struct {
	ID   uint64
	Zone string
}

// InitialVoters returns the identities of the first voters of each group. Within a group they
// are spread over the zones; over all groups, every store carries about as many. Among
// equals a hash of group and store decides, so that no order of names does.
func InitialVoters(candidates []Candidate, groups, voters int) [][]uint64 {
	carried := map[uint64]int{}
	chosen := make([][]uint64, groups)
	for group := range chosen {
		left := slices.Clone(candidates)
		inZone := map[string]int{}
		for len(chosen[group]) < voters && len(left) > 0 {
			best := slices.MinFunc(left, func(a, b Candidate) int {
				return cmp.Or(
					cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
					cmp.Compare(carried[a.ID], carried[b.ID]),
					cmp.Compare(Rank(group, a.ID), Rank(group, b.ID)),
				)
			})
			chosen[group] = append(chosen[group], best.ID)
			inZone[best.Zone]++
			carried[best.ID]++
			left = slices.DeleteFunc(left, func(c Candidate) bool { return c.ID == best.ID })
		}
	}
	return chosen
}

// Rank orders stores for a group, lowest first, differently for each group.
func Rank(group int, id uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(group))
	binary.LittleEndian.PutUint64(key[8:], id)
	return xxhash.Sum64(key[:])
}
