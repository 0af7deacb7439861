package edge

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// TestDecodeJob checks which documents of jobs are read, and that the others are wrong input.
func TestDecodeJob(t *testing.T) {
	item := `{"id":"a","path":"/p","headers":{"A":"b"},"body":"eA==","tokens":3}`
	for name, test := range map[string]struct {
		document string
		items    int
		valid    bool
	}{
		"one":              {`{"items":[` + item + `]}`, 1, true},
		"the limit":        {`{"items":[` + strings.Repeat(item+",", maxItems-1) + item + `]}`, maxItems, true},
		"over the limit":   {`{"items":[` + strings.Repeat(item+",", maxItems) + item + `]}`, 0, false},
		"other fields":     {`{"a":[{"items":[1]}],"items":[` + item + `],"b":null}`, 1, true},
		"no items":         {`{}`, 0, true},
		"null":             {`{"items":null}`, 0, true},
		"upper case":       {`{"Items":[` + item + `]}`, 1, true},
		"cut":              {`{"items":[` + item, 0, false},
		"something after":  {`{"items":[]} {}`, 0, false},
		"a list":           {`[]`, 0, false},
		"empty":            {``, 0, false},
		"items no list":    {`{"items":{}}`, 0, false},
		"a number as item": {`{"items":[1]}`, 0, false},
		"long headers":     {`{"items":[{"id":"a","headers":{"A":"` + strings.Repeat("x", maxItemHeadBytes) + `"}}]}`, 0, false},
		"many headers":     {`{"items":[{"id":"a","headers":{"A":""` + manyFields(20_000) + `}}]}`, 0, false},
		"no text":          {`{"items":[{"id":"a","headers":{"A":1}}]}`, 0, false},
	} {
		document, err := DecodeJob(context.Background(), []byte(test.document))
		switch {
		case (err == nil) != test.valid:
			t.Errorf("%s: %v", name, err)
		case err != nil && !failure.Is(err, failure.BadRequest):
			t.Errorf("%s: the error is no wrong input: %v", name, err)
		case err == nil && len(document.Items) != test.items:
			t.Errorf("%s: %d items, want %d", name, len(document.Items), test.items)
		}
	}
	document, err := DecodeJob(context.Background(), []byte(`{"items":[{"id":"a","headers":{"A":"1","B":"2","A":"3"},"body":"eA=="}]}`))
	if got := fmt.Sprint(document.Items[0].Headers, string(document.Items[0].Body)); err != nil || got != "[{A 3} {B 2}]x" {
		t.Errorf("%s, %v", got, err)
	}
}

func manyFields(count int) string {
	var text strings.Builder
	for number := range count {
		fmt.Fprintf(&text, `,"%d":""`, number)
	}
	return text.String()
}
