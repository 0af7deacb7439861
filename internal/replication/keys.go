package replication

import "encoding/binary"

// Sections of a group's keys.
const (
	sectionLog        = 'l'
	sectionBase       = 'b'
	sectionHardState  = 'h'
	sectionApplied    = 'a'
	sectionGeneration = 'n'
	sectionState      = 's'
)

// identityKey holds the identity of the data folder.
var identityKey = []byte("identity")

func groupKey(number int, section byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte{'g'}, uint16(number)), section)
}

// statePrefix begins the keys of one generation of a group's state. A snapshot
// is taken in as the next generation, so that the change from the old state to
// the new one is a single write.
func statePrefix(number int, generation uint64) []byte {
	return binary.BigEndian.AppendUint64(groupKey(number, sectionState), generation)
}

func logKey(number int, index uint64) []byte {
	return binary.BigEndian.AppendUint64(groupKey(number, sectionLog), index)
}

func encodeUint64(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

// decodeUint64 returns zero for a key that is not there.
func decodeUint64(value []byte) uint64 {
	if len(value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}
