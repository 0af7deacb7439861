package replication

import "encoding/binary"

// Sections of a group's key space.
const (
	sectionLog        = 'l'
	sectionBase       = 'b'
	sectionHardState  = 'h'
	sectionApplied    = 'a'
	sectionGeneration = 'n'
	sectionState      = 's'
)

// identityKey is the key of the identity of the data folder.
var identityKey = []byte("identity")

func groupKey(number int, section byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte{'g'}, uint16(number)), section)
}

// statePrefix returns the key prefix of one generation of a group's state. The state of a
// snapshot is stored as the next generation, so that a single write replaces the old state.
func statePrefix(number int, generation uint64) []byte {
	return binary.BigEndian.AppendUint64(groupKey(number, sectionState), generation)
}

func logKey(number int, index uint64) []byte {
	return binary.BigEndian.AppendUint64(groupKey(number, sectionLog), index)
}

func encodeUint64(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

// decodeUint64 returns zero if the value is missing.
func decodeUint64(value []byte) uint64 {
	if len(value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}
