package storage

import (
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// TestPebbleKeepsWhatWasSynced crashes the file system at a random moment and
// checks that every synced commit is there and that batches are whole.
func TestPebbleKeepsWhatWasSynced(t *testing.T) {
	proptest.Run(t, "synced commits survive", func(random *rand.Rand) error {
		files := vfs.NewCrashableMem()
		store, err := OpenPebble("data", files)
		if err != nil {
			return err
		}
		synced := -1
		commits := 1 + random.Intn(30)
		for i := 0; i < commits; i++ {
			sync := random.Intn(3) == 0
			pair := []Mutation{{Key: fmt.Appendf(nil, "a%04d", i), Value: []byte("x")}, {Key: fmt.Appendf(nil, "b%04d", i), Value: []byte("y")}}
			if err := store.Commit(pair, sync); err != nil {
				return err
			}
			if sync {
				synced = i
			}
		}
		crashed := files.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: random.Intn(101), RNG: crashRandom(random)})
		if err := store.Close(); err != nil {
			return err
		}
		survivor, err := OpenPebble("data", crashed)
		if err != nil {
			return err
		}
		defer survivor.Close()
		return checkSurvivor(survivor, synced, commits)
	})
}

func checkSurvivor(survivor Store, synced, commits int) error {
	gone := false
	for i := 0; i < commits; i++ {
		first, err := survivor.Get(fmt.Appendf(nil, "a%04d", i))
		if err != nil {
			return err
		}
		second, err := survivor.Get(fmt.Appendf(nil, "b%04d", i))
		if err != nil {
			return err
		}
		if (first == nil) != (second == nil) {
			return errors.Newf("commit %d survived in part", i)
		}
		if first == nil && i <= synced {
			return errors.Newf("commit %d was lost, though %d was synced", i, synced)
		}
		if first != nil && gone {
			return errors.Newf("commit %d survived, though an earlier one was lost", i)
		}
		gone = gone || first == nil
	}
	return nil
}

// TestMemoryMatchesPebble runs random commits on both stores.
func TestMemoryMatchesPebble(t *testing.T) {
	proptest.Run(t, "the stores agree", func(random *rand.Rand) error {
		onDisk, err := OpenPebble("data", vfs.NewMem())
		if err != nil {
			return err
		}
		defer onDisk.Close()
		inMemory := NewMemory()
		for i := 0; i < 40; i++ {
			mutation := Mutation{Key: fmt.Appendf(nil, "k%02d", random.Intn(20)), Value: fmt.Append(nil, i)}
			switch random.Intn(5) {
			case 0:
				mutation.Delete = true
			case 1:
				mutation.DeletePrefix, mutation.Key = true, mutation.Key[:2]
			case 2:
				mutation.DeleteTo = fmt.Appendf(nil, "k%02d", random.Intn(20))
			}
			for _, store := range []Store{onDisk, inMemory} {
				if err := store.Commit([]Mutation{mutation}, false); err != nil {
					return err
				}
			}
		}
		if first, second := dump(onDisk), dump(inMemory); first != second {
			return errors.Newf("pebble holds\n%s\nmemory holds\n%s", first, second)
		}
		return nil
	})
}

func dump(store Store) string {
	text := ""
	err := store.Scan([]byte("k"), PrefixEnd([]byte("k")), func(key, value []byte) bool {
		text += fmt.Sprintf("%s=%s\n", key, value)
		return true
	})
	return fmt.Sprint(text, err)
}

func TestMemoryCrash(t *testing.T) {
	store := NewMemory()
	put := func(key string, sync bool) {
		if err := store.Commit([]Mutation{{Key: []byte(key), Value: []byte("v")}}, sync); err != nil {
			t.Fatal(err)
		}
	}
	put("a", true)
	put("b", false)
	put("c", false)
	survivor := store.Crash(1)
	for key, want := range map[string]bool{"a": true, "b": true, "c": false} {
		value, err := survivor.Get([]byte(key))
		if err != nil || (value != nil) != want {
			t.Errorf("%s: survived %t, want %t (%v)", key, value != nil, want, err)
		}
	}
}

// crashRandom turns the property's source into the one that the file system
// takes.
func crashRandom(random *rand.Rand) *randv2.Rand {
	return randv2.New(randv2.NewPCG(random.Uint64(), 1))
}
