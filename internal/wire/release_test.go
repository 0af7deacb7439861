package wire_test

// The story: while machines were replaced one after the other, edges refused everything for
// half a minute, then answered 404 on routes that had been acknowledged seconds before, and
// stores that led a group ran none of its items. Each process started on the newer build
// asked a leader of the older one for what had changed and could not read the answer: a
// field had kept its name and changed its shape. Reports of loads were lost between the
// builds, too, because a tuple had grown.
//
// The evidence: of 103 messages that both builds have, these two (and what holds them) are
// those of which one build could not read what the other had written.
//
// So what a released build writes is kept in testdata/releases, with what that build reads
// in today's messages. A message may get fields; a field that was released keeps its name
// and shape, and a tuple its length.

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire/corpus"
)

const releases = "testdata/releases"

// remedy is what to do where a sample has changed.
const remedy = "a released field keeps its name and shape: give what is new a name of its own, and run scripts/corpus.sh for each release"

// renamed holds today's names of messages that a release has under another one.
var renamed = map[string]string{"StoreAddress": "ProcessAddress"}

// datagrams are messages behind which more may stand in the same packet.
var datagrams = map[string]bool{"LoadReport": true}

// TestReleases reads what each release wrote by today's build, and looks at what the
// release read in what today's writes: nothing is refused, and what both have is the same.
func TestReleases(t *testing.T) {
	var today map[string]corpus.Sample
	load(t, filepath.Join(releases, "today.json"), &today)
	written, err := corpus.Write()
	if err != nil {
		t.Fatal(err)
	}
	for name, sample := range written {
		if !bytes.Equal(today[name].Bytes, sample.Bytes) {
			t.Errorf("%s is no more written as when the releases read it: run scripts/corpus.sh for each release", name)
		}
	}
	for _, release := range folders(t) {
		t.Run(release+" is read", func(t *testing.T) { readsRelease(t, release) })
		t.Run(release+" reads", func(t *testing.T) { isReadByRelease(t, release, today) })
	}
}

func readsRelease(t *testing.T, release string) {
	var theirs map[string]corpus.Sample
	load(t, filepath.Join(releases, release, "written.json"), &theirs)
	types := corpus.Types()
	for name, sample := range theirs {
		kind, empty := strings.CutSuffix(name, corpus.Empty)
		if today := renamed[kind]; today != "" {
			kind = today
		}
		if types[kind] == nil {
			t.Errorf("%s is gone: %s", kind, remedy)
			continue
		}
		reading, err := corpus.Read(map[string]corpus.Sample{kind: sample})
		if err != nil {
			t.Fatal(err)
		}
		compare(t, kind, empty, sample.Value, reading[kind], 0)
	}
}

func isReadByRelease(t *testing.T, release string, today map[string]corpus.Sample) {
	var readings map[string]corpus.Reading
	load(t, filepath.Join(releases, release, "read.json"), &readings)
	for name, reading := range readings {
		kind, empty := strings.CutSuffix(name, corpus.Empty)
		rest := 0
		if datagrams[kind] {
			rest = reading.Rest
		}
		if reading.Failure != "" {
			t.Errorf("%s is not read by %s: %s; %s", name, release, reading.Failure, remedy)
			continue
		}
		compare(t, kind, empty, reading.Value, corpus.Reading{Value: today[name].Value, Rest: reading.Rest}, rest)
	}
}

// compare checks that what stands in one value stands in the reading, too.
func compare(t *testing.T, kind string, empty bool, value json.RawMessage, reading corpus.Reading, rest int) {
	t.Helper()
	if reading.Failure != "" || reading.Rest != rest {
		t.Errorf("%s (empty: %v) is not read: %s, %d bytes follow; %s", kind, empty, reading.Failure, reading.Rest, remedy)
		return
	}
	var want, got any
	decode(t, value, &want)
	decode(t, reading.Value, &got)
	if at := missing(want, got); at != "" {
		t.Errorf("%s (empty: %v): %s is another one: %s", kind, empty, at, remedy)
	}
}

// missing returns where something stands in want and not in got, empty for nowhere. A list,
// text or message that is empty in one may be left out in the other.
func missing(want, got any) string {
	switch want := want.(type) {
	case map[string]any:
		got, same := got.(map[string]any)
		if !same {
			return "the message"
		}
		for name, field := range want {
			if at := missing(field, got[name]); at != "" {
				return strings.TrimSuffix(name+"/"+at, "/value")
			}
		}
		return ""
	case []any:
		got, _ := got.([]any)
		if len(want) != len(got) {
			return "the list"
		}
		for i := range want {
			if at := missing(want[i], got[i]); at != "" {
				return at
			}
		}
		return ""
	case nil:
		if list, isList := got.([]any); got == nil || isList && len(list) == 0 || got == "" {
			return ""
		}
		return "value"
	}
	if reflect.DeepEqual(want, got) || want == "" && got == nil {
		return ""
	}
	return "value"
}

// TestCorpusIsWhole checks that the samples hold each message of this package.
func TestCorpusIsWhole(t *testing.T) {
	types := corpus.Types()
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_gen.go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range structs(file) {
			if types[kind] == nil {
				t.Errorf("%s is not in the corpus: run scripts/corpus.sh for each release", kind)
			}
		}
	}
}

// structs returns the names of the exported messages of a file.
func structs(file *ast.File) []string {
	var names []string
	for _, declaration := range file.Decls {
		general, isGeneral := declaration.(*ast.GenDecl)
		if !isGeneral {
			continue
		}
		for _, spec := range general.Specs {
			named, isType := spec.(*ast.TypeSpec)
			if !isType || !named.Name.IsExported() {
				continue
			}
			if _, isStruct := named.Type.(*ast.StructType); isStruct {
				names = append(names, named.Name.Name)
			}
		}
	}
	return names
}

func folders(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(releases)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		if entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names
}

func load(t *testing.T, path string, value any) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	decode(t, content, value)
}

func decode(t *testing.T, content []byte, value any) {
	t.Helper()
	if err := json.Unmarshal(content, value); err != nil {
		t.Fatal(err)
	}
}
