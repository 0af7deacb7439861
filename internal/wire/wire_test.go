package wire

import (
	"bytes"
	"math/rand"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

// message is a message that encodes and decodes itself.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// peerMessages returns an empty message of each type that a process receives from another.
func peerMessages() []message {
	return []message{
		&PeerBatch{}, &Hello{}, &LogEntry{}, &LogBase{}, &HardState{},
		&HeartbeatRequest{}, &HeartbeatResponse{}, &ApplyRequest{}, &MetaCommand{}, &MetaResult{},
		&JobCommand{}, &JobResult{}, &LeaseItemsRequest{}, &LeaseItemsResponse{}, &CompleteItemsRequest{},
		&GenerateRequest{}, &GenerateFrame{}, &ResumeRequest{}, &Failure{}, &StatusResponse{},
	}
}

// TestRoundTrip fills messages at random and checks that decoding restores what was encoded,
// and that a truncated message is rejected.
func TestRoundTrip(t *testing.T) {
	proptest.Run(t, "messages survive encoding", func(random *rand.Rand) error {
		for _, original := range peerMessages() {
			fill(random, reflect.ValueOf(original).Elem(), 0)
			encoded, err := original.MarshalMsg(nil)
			if err != nil {
				return err
			}
			decoded := reflect.New(reflect.TypeOf(original).Elem()).Interface().(message)
			rest, err := decoded.UnmarshalMsg(encoded)
			if err != nil || len(rest) > 0 {
				return errors.Newf("%T: %d bytes are left after decoding, %v", original, len(rest), err)
			}
			again, err := decoded.MarshalMsg(nil)
			if err != nil || !bytes.Equal(encoded, again) {
				return errors.Newf("%T differs after decoding and encoding: %v", original, err)
			}
			if _, err := decoded.UnmarshalMsg(encoded[:len(encoded)-1]); err == nil {
				return errors.Newf("%T: a truncated message decodes", original)
			}
		}
		return nil
	})
}

const maxDepth = 4

// fill sets a value at random. Below maxDepth, pointers and lists stay empty.
func fill(random *rand.Rand, value reflect.Value, depth int) {
	switch value.Kind() {
	case reflect.Struct:
		for i := 0; i < value.NumField(); i++ {
			fill(random, value.Field(i), depth+1)
		}
	case reflect.Pointer:
		if depth < maxDepth && random.Intn(2) == 0 {
			value.Set(reflect.New(value.Type().Elem()))
			fill(random, value.Elem(), depth+1)
		}
	case reflect.Slice:
		if depth >= maxDepth {
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), random.Intn(3), 3))
		for i := 0; i < value.Len(); i++ {
			fill(random, value.Index(i), depth+1)
		}
	case reflect.String:
		value.SetString(string(rune('a' + random.Intn(1000))))
	case reflect.Bool:
		value.SetBool(random.Intn(2) == 0)
	case reflect.Int, reflect.Int64, reflect.Int32:
		value.SetInt(random.Int63() >> random.Intn(63))
	case reflect.Uint8:
		value.SetUint(uint64(random.Intn(256)))
	case reflect.Uint32:
		value.SetUint(uint64(random.Uint32()))
	case reflect.Uint64:
		value.SetUint(random.Uint64() >> random.Intn(64))
	}
}

// FuzzPeerMessages feeds arbitrary bytes to the decoders of messages from other processes.
// They must not panic, and a message that decodes must encode again.
func FuzzPeerMessages(f *testing.F) {
	random := rand.New(rand.NewSource(1))
	for index, seed := range peerMessages() {
		fill(random, reflect.ValueOf(seed).Elem(), 0)
		encoded, err := seed.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(index, encoded)
	}
	f.Fuzz(func(t *testing.T, index int, data []byte) {
		messages := peerMessages()
		target := messages[((index%len(messages))+len(messages))%len(messages)]
		if _, err := target.UnmarshalMsg(data); err != nil {
			return
		}
		if _, err := target.MarshalMsg(nil); err != nil {
			t.Errorf("%T decodes but does not encode again: %v", target, err)
		}
	})
}

// TestLargeFields checks that the limit on the length of lists does not reject a chunk of an
// upload or a long prompt. When it did, groups whose logs held uploads lost their leaders
// permanently.
func TestLargeFields(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 8<<20)
	for _, original := range []message{
		&LogEntry{Data: large},
		&KeyPair{Value: large},
		&Document{Body: large},
		&GenerateRequest{Prompt: string(large)},
		&ItemResult{Text: string(large)},
	} {
		encoded, err := original.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		decoded := reflect.New(reflect.TypeOf(original).Elem()).Interface().(message)
		if _, err := decoded.UnmarshalMsg(encoded); err != nil {
			t.Errorf("%T with %d bytes does not decode: %v", original, len(large), err)
		}
	}
}
