package jobstate

import (
	"encoding/binary"

	"github.com/sedgemast/sedgemast/internal/storage"
)

var (
	sequenceKey  = []byte("sequence")
	filePrefix   = []byte("file/")
	linePrefix   = []byte("line/")
	jobPrefix    = []byte("job/")
	resultPrefix = []byte("result/")
)

// itemNumberBytes is the length of the item or line number at the end of a key.
const itemNumberBytes = 4

func fileKey(id string) []byte { return append(append([]byte{}, filePrefix...), id...) }

func jobKey(id string) []byte { return append(append([]byte{}, jobPrefix...), id...) }

func lineKeyPrefix(fileID string) []byte {
	return append(append(append([]byte{}, linePrefix...), fileID...), '/')
}

func resultKeyPrefix(jobID string) []byte {
	return append(append(append([]byte{}, resultPrefix...), jobID...), '/')
}

func lineKey(fileID string, line uint32) []byte {
	return binary.BigEndian.AppendUint32(lineKeyPrefix(fileID), line)
}

// ResultKey returns the key of an item's result in the key space of its group.
func ResultKey(jobID string, item uint32) []byte {
	return binary.BigEndian.AppendUint32(resultKeyPrefix(jobID), item)
}

// itemOfKey returns the item number at the end of a line or result key.
func itemOfKey(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[len(key)-itemNumberBytes:])
}

func encodeUint64(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

func decodeUint64(value []byte) uint64 {
	if len(value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

func scanPrefix(reader storage.Reader, prefix []byte, visit func(key, value []byte) bool) error {
	return reader.Scan(prefix, storage.PrefixEnd(prefix), visit)
}
