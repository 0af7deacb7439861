package batchstore

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

func originRows(first, count int) []wire.StreamOrigin {
	var rows []wire.StreamOrigin
	for stream := first; stream < first+count; stream++ {
		rows = append(rows, wire.StreamOrigin{Stream: uint64(stream), Pool: "p", Version: "v1", KeepMillis: 5000})
	}
	return rows
}

// TestOriginLogAfterKill writes origins, cuts or damages the file at each byte, and reads it again: only
// whole frames count, and no origin may differ from what was written.
func TestOriginLogAfterKill(t *testing.T) {
	folder, now := t.TempDir(), time.Now()
	log, rows, err := openOriginLog(folder, now)
	if err != nil || len(rows) > 0 {
		t.Fatalf("a new log holds %+v, %v", rows, err)
	}
	first, second := originRows(1, 3), originRows(4, 2)
	for _, batch := range [][]wire.StreamOrigin{first, second} {
		if err := log.append(now, batch); err != nil {
			t.Fatal(err)
		}
	}
	path := log.path(currentOrigins)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) {
		damaged := slices.Clone(whole)
		damaged[cut] ^= 1
		for _, data := range [][]byte{whole[:cut], damaged} {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
			if read := readOrigins(path); len(read) > 0 && !slices.Equal(read, first) {
				t.Fatalf("at byte %d: read %+v", cut, read)
			}
		}
	}
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	log, rows, err = openOriginLog(folder, now)
	if err != nil || !slices.Equal(rows, append(first, second...)) {
		t.Errorf("after a kill the log holds %+v, %v", rows, err)
	}
	if err := log.append(now.Add(originFileTime+1), originRows(6, 1)); err != nil {
		t.Fatal(err)
	}
	if _, rows, _ = openOriginLog(folder, now); !slices.Equal(rows, originRows(6, 1)) {
		t.Errorf("after two files the log holds %+v", rows)
	}
}

// TestUnwritableOriginLog checks that a store goes on without its origin log, and uses it again later.
func TestUnwritableOriginLog(t *testing.T) {
	folder, now := t.TempDir(), time.Now()
	blocked := filepath.Join(folder, originFolder)
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	log, _, err := openOriginLog(folder, now)
	if err == nil || log.append(now, originRows(1, 1)) == nil || log.syncIfDue(now) != nil {
		t.Errorf("a log in a folder that can't be made opened with %v", err)
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(blocked, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := log.append(now, originRows(2, 1)); err != nil || !slices.Equal(readOrigins(log.path(currentOrigins)), originRows(2, 1)) {
		t.Errorf("the log is not used again: %v", err)
	}
}

// TestHubKeepsOriginsOverKill checks that a hub which was killed answers lookups as before.
func TestHubKeepsOriginsOverKill(t *testing.T) {
	now := time.Now()
	hub := newOrigins()
	hub.answer(now, &wire.LoadReport{Origins: originRows(1, 2)})
	restarted := newOrigins()
	restarted.restore(now, hub.takeUnwritten())
	answer := restarted.answer(now.Add(4*time.Second), &wire.LoadReport{Lookups: []uint64{1, 2, 3}})
	if len(answer.Origins) != 2 || len(answer.Unknown) != 1 || answer.Origins[0].Version != "v1" {
		t.Errorf("got %+v", answer)
	}
	if answer := restarted.answer(now.Add(6*time.Second), &wire.LoadReport{Lookups: []uint64{1}}); len(answer.Unknown) != 1 {
		t.Errorf("an origin is kept beyond its caller's time: %+v", answer)
	}
	if len(hub.takeUnwritten()) > 0 {
		t.Error("origins are written twice")
	}
}
