package batchstate

import "encoding/binary"

// Sections of the group's keys. A job's id is followed by a zero byte, which no id contains.
const (
	sectionJob      = 'j'
	sectionContent  = 'c'
	sectionProgress = 'p'
	sectionResult   = 'r'
	sectionSaved    = 's'
)

func prefix(section byte, id string) []byte {
	return append(append([]byte{section}, id...), 0)
}

func numberedKey(section byte, id string, number int) []byte {
	return binary.BigEndian.AppendUint32(prefix(section, id), uint32(number))
}

func jobKey(id string) []byte                       { return prefix(sectionJob, id) }
func contentPrefix(id string) []byte                { return prefix(sectionContent, id) }
func contentKey(id string, item int) []byte         { return numberedKey(sectionContent, id, item) }
func progressPrefix(id string) []byte               { return prefix(sectionProgress, id) }
func itemProgressPrefix(id string, item int) []byte { return numberedKey(sectionProgress, id, item) }

// progressKey returns the key of the part of an item's text that follows its first from events.
func progressKey(id string, item, from int) []byte {
	return binary.BigEndian.AppendUint32(itemProgressPrefix(id, item), uint32(from))
}

func savedPrefix(id string) []byte               { return prefix(sectionSaved, id) }
func itemSavedPrefix(id string, item int) []byte { return numberedKey(sectionSaved, id, item) }

// savedKey returns the key of the part of an item's saved text that follows its first from events.
func savedKey(id string, item, from int) []byte {
	return binary.BigEndian.AppendUint32(itemSavedPrefix(id, item), uint32(from))
}

func resultPrefix(id string) []byte                    { return prefix(sectionResult, id) }
func resultKey(id string, position int) []byte         { return numberedKey(sectionResult, id, position) }
func sectionBounds(section byte) (lower, upper []byte) { return []byte{section}, []byte{section + 1} }
