// Package corpus makes a sample of each message of package wire, the same in each build
// that has the message, so that what one build writes can be read by another. Release
// builds' samples stand in testdata of package wire; scripts/corpus.sh makes them.
package corpus

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/tinylib/msgp/msgp"
)

// Message is a message that encodes and decodes itself.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Sample is a message as one build wrote it.
type Sample struct {
	// Bytes is the encoded message.
	Bytes []byte `json:"bytes"`
	// Value is the message as JSON.
	Value json.RawMessage `json:"value"`
}

// Reading is what a build made of another one's message.
type Reading struct {
	// Value is the message as JSON, Rest how many bytes follow it.
	Value json.RawMessage `json:"value,omitempty"`
	Rest  int             `json:"rest,omitempty"`
	// Failure is set where the message could not be read.
	Failure string `json:"failure,omitempty"`
}

// Empty is the suffix of the names of samples in which nothing is set.
const Empty = "/empty"

// Write returns two samples of each message, by its name: one with every field set, and
// one with none.
func Write() (map[string]Sample, error) {
	samples := map[string]Sample{}
	for name, create := range Types() {
		empty, full := create(), create()
		(&filler{}).fill(reflect.ValueOf(full).Elem())
		var err error
		if samples[name], err = sampleOf(full); err != nil {
			return nil, err
		}
		if samples[name+Empty], err = sampleOf(empty); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

func sampleOf(message Message) (Sample, error) {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		return Sample{}, err
	}
	value, err := json.Marshal(message)
	return Sample{Bytes: encoded, Value: value}, err
}

// Read returns what this build makes of samples that another one wrote. Messages that this
// build does not have are left out.
func Read(samples map[string]Sample) (map[string]Reading, error) {
	types := Types()
	readings := map[string]Reading{}
	for name, sample := range samples {
		create := types[strings.TrimSuffix(name, Empty)]
		if create == nil {
			continue
		}
		message := create()
		rest, err := message.UnmarshalMsg(sample.Bytes)
		if err != nil {
			readings[name] = Reading{Failure: err.Error()}
			continue
		}
		value, err := json.Marshal(message)
		if err != nil {
			return nil, err
		}
		readings[name] = Reading{Value: value, Rest: len(rest)}
	}
	return readings, nil
}

// filler sets fields to values that differ from one another.
type filler struct{ last int }

// maxNumber is up to where numbers go: those of the smallest type of a field.
const maxNumber = 120

func (f *filler) next() int {
	f.last = f.last%maxNumber + 1
	return f.last
}

// listLength is how many elements each list has.
const listLength = 2

func (f *filler) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			f.fill(value.Field(i))
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), listLength, listLength))
		for i := range value.Len() {
			f.fill(value.Index(i))
		}
	case reflect.Map:
		key := reflect.New(value.Type().Key()).Elem()
		element := reflect.New(value.Type().Elem()).Elem()
		f.fill(key)
		f.fill(element)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString("text " + string(rune('a'+f.next()%26)))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.next()))
	}
}
