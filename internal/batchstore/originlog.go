package batchstore

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// originFolder is the folder of the origin log in the data folder.
	originFolder = "origins"
	// originWriteInterval is the time between two writes of the origin log.
	originWriteInterval = 25 * time.Millisecond
	// originSyncInterval is the time between two syncs of the origin log. A sync delays the stores'
	// other writes to the disk, and no request waits for it.
	originSyncInterval = 250 * time.Millisecond
	// originFileTime is how long a file of the origin log is written. The file before is kept.
	originFileTime = time.Minute
	// originFrameHeader is the length of a frame's header: length and checksum of the rows.
	originFrameHeader = 8
)

// originLog keeps the origins of streams over a kill of the process. After a power failure those of the
// last originSyncInterval may be gone, and their streams are rejected.
type originLog struct {
	folder    string
	file      *os.File
	startedAt time.Time
	syncedAt  time.Time
	// unsynced is set while the file holds origins that are not synced.
	unsynced bool
}

func (l *originLog) path(name string) string { return filepath.Join(l.folder, name) }

// Names of the files of the origin log.
const (
	currentOrigins  = "current"
	previousOrigins = "previous"
)

// openOriginLog opens the log in the data folder and returns the origins in it. After an error the log can
// be used: each append tries to open the file again.
func openOriginLog(dataFolder string, now time.Time) (*originLog, []wire.StreamOrigin, error) {
	l := &originLog{folder: filepath.Join(dataFolder, originFolder)}
	if err := os.MkdirAll(l.folder, 0o700); err != nil {
		return l, nil, failure.Wrap(err, failure.Internal, "check the data folder", "the origins of streams can't be stored")
	}
	rows := append(readOrigins(l.path(previousOrigins)), readOrigins(l.path(currentOrigins))...)
	return l, rows, l.rotate(now)
}

// rotate starts a new file.
func (l *originLog) rotate(now time.Time) error {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.startedAt = now
	err := os.Rename(l.path(currentOrigins), l.path(previousOrigins))
	if err == nil || os.IsNotExist(err) {
		l.file, err = os.Create(l.path(currentOrigins))
	}
	if err != nil {
		l.file = nil
		return failure.Wrap(err, failure.Internal, "check the data folder", "the origins of streams can't be stored")
	}
	return nil
}

// append writes origins to the log.
func (l *originLog) append(now time.Time, rows []wire.StreamOrigin) error {
	if l.file == nil || now.Sub(l.startedAt) > originFileTime {
		if err := l.rotate(now); err != nil {
			return err
		}
	}
	l.unsynced = true
	_, err := l.file.Write(encodeOrigins(rows))
	if err != nil {
		// Frames after one that was cut could not be read.
		_ = l.file.Close()
		l.file = nil
	}
	return err
}

// syncIfDue syncs the file if there is something to sync and the last sync is long enough ago.
func (l *originLog) syncIfDue(now time.Time) error {
	if l.file == nil || !l.unsynced || now.Sub(l.syncedAt) < originSyncInterval {
		return nil
	}
	l.unsynced, l.syncedAt = false, now
	return l.file.Sync()
}

// encodeOrigins returns a frame with the rows.
func encodeOrigins(rows []wire.StreamOrigin) []byte {
	frame := make([]byte, originFrameHeader)
	for i := range rows {
		// Encoding a plain structure does not fail.
		frame, _ = rows[i].MarshalMsg(frame)
	}
	payload := frame[originFrameHeader:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(payload))
	return frame
}

// readOrigins returns the origins of all whole frames at the start of a file.
func readOrigins(path string) []wire.StreamOrigin {
	// A file that can't be read holds no origins; their streams are rejected.
	data, _ := os.ReadFile(path)
	var rows []wire.StreamOrigin
	for len(data) >= originFrameHeader {
		length, sum := int64(binary.LittleEndian.Uint32(data)), binary.LittleEndian.Uint32(data[4:])
		data = data[originFrameHeader:]
		if length > int64(len(data)) || crc32.ChecksumIEEE(data[:length]) != sum {
			break
		}
		payload := data[:length]
		data = data[length:]
		for len(payload) > 0 {
			var row wire.StreamOrigin
			rest, err := row.UnmarshalMsg(payload)
			if err != nil {
				return rows
			}
			rows, payload = append(rows, row), rest
		}
	}
	return rows
}

// writeOrigins writes the origins that arrive to the log until ctx ends.
func (s *Store) writeOrigins(ctx context.Context) {
	failing := false
	daemon.Every(ctx, originWriteInterval, func() {
		var err error
		if rows := s.origins.takeUnwritten(); len(rows) > 0 {
			err = s.originLog.append(time.Now(), rows)
		}
		if err == nil {
			err = s.originLog.syncIfDue(time.Now())
		}
		if err != nil && !failing {
			logging.Warn(s.logger, "origins_not_stored", "error", err)
		}
		failing = err != nil
	})
}
