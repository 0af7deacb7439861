package edge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func TestInvalidJobs(t *testing.T) {
	item := func(id, path string) JobItem { return JobItem{ID: id, Path: path} }
	many := make([]JobItem, maxItems+1)
	for i := range many {
		many[i] = item(strings.Repeat("x", i+1), "/p")
	}
	cases := map[string]struct {
		id    string
		items []JobItem
		field string
	}{
		"no job id":                  {"", []JobItem{item("a", "/p")}, "id"},
		"a job id with a zero":       {"j\x00", []JobItem{item("a", "/p")}, "id"},
		"no items":                   {"j", nil, "items"},
		"too many items":             {"j", many, "items"},
		"an item without id":         {"j", []JobItem{item("", "/p")}, "items.0.id"},
		"an id twice":                {"j", []JobItem{item("a", "/p"), item("a", "/q")}, "items.1.id"},
		"no path":                    {"j", []JobItem{item("a", "")}, "items.0.path"},
		"a path without slash":       {"j", []JobItem{item("a", "p")}, "items.0.path"},
		"a path with a break":        {"j", []JobItem{item("a", "/p\r\nX: y")}, "items.0.path"},
		"a path with a blank":        {"j", []JobItem{item("a", "/p HTTP/1.1")}, "items.0.path"},
		"negative tokens":            {"j", []JobItem{{ID: "a", Path: "/p", Tokens: -1}}, "items.0.tokens"},
		"a header with a break":      {"j", []JobItem{{ID: "a", Path: "/p", Headers: ItemHeaders{{Name: "A", Value: "b\r\nC: d"}}}}, "items.0.headers"},
		"a header name with a break": {"j", []JobItem{{ID: "a", Path: "/p", Headers: ItemHeaders{{Name: "A\n", Value: "b"}}}}, "items.0.headers"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := validateJob((&JobDocument{Items: test.items}).Job(test.id, "h.example"))
			if !failure.Is(err, failure.BadRequest) || failure.From(err).Remedy == "" || failure.From(err).Field != test.field {
				t.Errorf("%v, field %q", err, failure.From(err).Field)
			}
		})
	}
}

func TestValidJob(t *testing.T) {
	document := &JobDocument{}
	for i := range maxItems {
		document.Items = append(document.Items, JobItem{ID: fmt.Sprint(i), Path: "/p", Headers: ItemHeaders{{Name: "A", Value: "b"}}, Body: []byte("x"), Tokens: 1})
	}
	job := document.Job("j", "h.example")
	if err := validateJob(job); err != nil {
		t.Fatal(err)
	}
	last := job.Items[maxItems-1]
	if job.ID != "j" || job.Host != "h.example" || last.ID != fmt.Sprint(maxItems-1) || len(last.Headers) != 1 || last.Headers[0] != (wire.HeaderField{Name: "A", Value: "b"}) {
		t.Errorf("%+v", last)
	}
}
