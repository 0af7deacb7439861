package replication

import "encoding/binary"

const (
	keyLog     = 'l'
	keyState   = 's'
	keyApplied = 'a'
)

func groupPrefix(number int, section byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte{'g'}, uint16(number)), section)
}

func logPrefix(number int) []byte { return groupPrefix(number, keyLog) }

func statePrefix(number int) []byte { return groupPrefix(number, keyState) }

func appliedKey(number int) []byte { return groupPrefix(number, keyApplied) }

func logKey(number int, index uint64) []byte {
	return binary.BigEndian.AppendUint64(logPrefix(number), index)
}

func encodeIndex(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func decodeIndex(value []byte) uint64 {
	if len(value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}
