// Package corpus creates samples of the messages of package wire. Builds that have the same
// message create the same sample, so that tests can check whether one build decodes what
// another encoded. The samples of released builds are in the testdata of package wire;
// scripts/corpus.sh creates them.
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

// Sample is a message as one build encoded it.
type Sample struct {
	// Bytes is the encoded message.
	Bytes []byte `json:"bytes"`
	// Value is the message as JSON.
	Value json.RawMessage `json:"value"`
}

// Reading is the result of decoding a sample of another build.
type Reading struct {
	// Value is the message as JSON. Rest is the number of bytes that follow the message.
	Value json.RawMessage `json:"value,omitempty"`
	Rest  int             `json:"rest,omitempty"`
	// Failure is the error if the message could not be decoded.
	Failure string `json:"failure,omitempty"`
}

// Empty is the suffix of the names of samples in which no field is set.
const Empty = "/empty"

// Write returns two samples of each message: one with every field set, under the message's
// name, and one with none, under the name with the suffix Empty.
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

// Read decodes samples that another build wrote and returns the results by name. Messages that
// this build does not have are omitted.
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

// filler sets fields to distinct values, so that swapped fields are noticed. last is the number
// used last.
type filler struct{ lastNumber int }

// maxNumber is the largest number used: it fits into the smallest integer type of a field.
const maxNumber = 120

func (f *filler) nextNumber() int {
	f.lastNumber = f.lastNumber%maxNumber + 1
	return f.lastNumber
}

// listLength is the number of elements of each list in a sample.
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
		value.SetString("text " + string(rune('a'+f.nextNumber()%26)))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.nextNumber()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.nextNumber()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.nextNumber()))
	}
}
