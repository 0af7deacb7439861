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

// TestPebbleKeepsWhatWasSynced simulates a power loss after random commits. It checks that no
// synced commit is lost, that no batch survives in part, and that no batch survives the loss of an
// earlier batch.
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
		recovered, err := OpenPebble("data", crashed)
		if err != nil {
			return err
		}
		defer recovered.Close()
		return checkRecovered(recovered, synced, commits)
	})
}

func checkRecovered(recovered Store, synced, commits int) error {
	lost := false
	for i := 0; i < commits; i++ {
		first, err := recovered.Get(fmt.Appendf(nil, "a%04d", i))
		if err != nil {
			return err
		}
		second, err := recovered.Get(fmt.Appendf(nil, "b%04d", i))
		if err != nil {
			return err
		}
		if (first == nil) != (second == nil) {
			return errors.Newf("commit %d survived in part", i)
		}
		if first == nil && i <= synced {
			return errors.Newf("commit %d was lost, but commit %d was synced", i, synced)
		}
		if first != nil && lost {
			return errors.Newf("commit %d survived, but an earlier one was lost", i)
		}
		lost = lost || first == nil
	}
	return nil
}

// TestMemoryMatchesPebble applies random commits to both stores and compares their contents.
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
	recovered := store.Crash(1)
	for key, want := range map[string]bool{"a": true, "b": true, "c": false} {
		value, err := recovered.Get([]byte(key))
		if err != nil || (value != nil) != want {
			t.Errorf("%s: survived %t, want %t (%v)", key, value != nil, want, err)
		}
	}
}

// crashRandom returns a random source, of the type that the file system needs, seeded by random.
func crashRandom(random *rand.Rand) *randv2.Rand {
	return randv2.New(randv2.NewPCG(random.Uint64(), 1))
}
