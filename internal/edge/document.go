package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxItemHeadBytes bounds the headers of an item, as they are sent to a worker.
	maxItemHeadBytes = 64 << 10
	// headerLineBytes is the size of a header line beside its name and value.
	headerLineBytes = len(": \r\n")
	// itemBytes and headerBytes are the memory of an item and of one of its headers beside their text.
	itemBytes   = 128
	headerBytes = 64
)

// DecodeJob decodes the document of a job. It stops at the first item beyond the limit, and charges the
// context's request for each item before it decodes the next. The caller must not use the body after it:
// its charge is released.
func DecodeJob(ctx context.Context, body []byte) (*JobDocument, error) {
	// The decoder keeps a copy of the element that it decodes.
	if err := intake.Hold(ctx, int64(len(body))); err != nil {
		return nil, err
	}
	defer intake.Release(ctx, int64(len(body)+cap(body)))
	defer intake.Work(ctx)()
	document := &JobDocument{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	err := decodeObject(decoder, func(name string) error {
		if !strings.EqualFold(name, "items") {
			return decoder.Decode(&ignored{})
		}
		return document.decodeItems(ctx, decoder)
	})
	if err == nil {
		err = checkEnd(decoder)
	}
	switch {
	case err == nil:
		return document, nil
	case failure.Is(err, failure.NotRun) || failure.Is(err, failure.BadRequest):
		return nil, err
	}
	return nil, failure.Wrap(err, failure.BadRequest, "send the whole job as JSON", "the job can't be read")
}

// decodeItems decodes the list of items.
func (d *JobDocument) decodeItems(ctx context.Context, decoder *json.Decoder) error {
	d.Items = nil
	switch token, err := decoder.Token(); {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return errors.New("the items are no list")
	}
	for decoder.More() {
		if len(d.Items) == maxItems {
			return itemCountError("more than 200")
		}
		d.Items = append(d.Items, JobItem{})
		item := &d.Items[len(d.Items)-1]
		if err := decoder.Decode(item); err != nil {
			return err
		}
		if err := intake.Hold(ctx, item.size()); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

// size returns the memory of an item in bytes.
func (i *JobItem) size() int64 {
	size := itemBytes + len(i.ID) + len(i.Path) + cap(i.Body)
	for _, field := range i.Headers {
		size += headerBytes + len(field.Name) + len(field.Value)
	}
	return int64(size)
}

// ignored is a value that is decoded to nothing.
type ignored struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*ignored) UnmarshalJSON([]byte) error { return nil }

// ItemHeaders are the headers of an item, an object in JSON.
type ItemHeaders []wire.HeaderField

// UnmarshalJSON implements json.Unmarshaler. The last of several headers of a name counts.
func (h *ItemHeaders) UnmarshalJSON(data []byte) error {
	*h = nil
	if string(data) == "null" {
		return nil
	}
	size, positions := 0, map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	return decodeObject(decoder, func(name string) error {
		var value string
		if err := decoder.Decode(&value); err != nil {
			return err
		}
		if size += len(name) + len(value) + headerLineBytes; size > maxItemHeadBytes {
			return failure.New(failure.BadRequest, "send shorter headers", "the headers of an item are longer than %d bytes", maxItemHeadBytes).WithField("items")
		}
		if position, found := positions[name]; found {
			(*h)[position].Value = value
			return nil
		}
		positions[name] = len(*h)
		*h = append(*h, wire.HeaderField{Name: name, Value: value})
		return nil
	})
}

// MarshalJSON implements json.Marshaler.
func (h ItemHeaders) MarshalJSON() ([]byte, error) {
	fields := make(map[string]string, len(h))
	for _, field := range h {
		fields[field.Name] = field.Value
	}
	return json.Marshal(fields)
}

// decodeObject decodes an object, with decodeField for the value of each field.
func decodeObject(decoder *json.Decoder, decodeField func(name string) error) error {
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return errors.CombineErrors(err, errors.New("it is no object"))
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		if err := decodeField(token.(string)); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

// checkEnd returns an error if something follows the decoded document.
func checkEnd(decoder *json.Decoder) error {
	switch _, err := decoder.Token(); {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	}
	return errors.New("something follows the document")
}
