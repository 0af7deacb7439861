package wire_test

// These tests guard against messages that builds of two releases can't exchange, which breaks a
// fleet while its machines are upgraded one by one. Once, a released field kept its name but
// changed its type: processes of the newer build could not decode the updates of a leader of the
// older build, so edges rejected all requests for half a minute and then answered 404 on routes
// acknowledged seconds before, and stores that led a group ran none of its items. Load reports were
// lost as well, because a tuple had grown. Of the 103 messages of both builds, only these two and
// the messages that contain them were affected.
//
// testdata/releases therefore holds the samples that each released build writes, and what that
// build decodes from the current samples. A message may get new fields, but a released field keeps
// its name and type, and a tuple keeps its length.

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

// remedy says in test failures what to do if a sample has changed.
const remedy = "a released field keeps its name and shape: give what is new a name of its own, and run scripts/corpus.sh for each release"

// renamed maps names of messages in a release to their current names.
var renamed = map[string]string{"StoreAddress": "ProcessAddress"}

// datagrams are the messages that may be followed by further data in the same packet.
var datagrams = map[string]bool{"LoadReport": true}

// notSent holds, by message, the field that the reader sets and the sender does not send.
var notSent = map[string]string{"LoadReport": "First"}

// TestReleases decodes the samples of each release, and checks what the release decoded from
// the current samples: every message must be decoded, and the fields that both builds have must
// hold the same values.
func TestReleases(t *testing.T) {
	var current map[string]corpus.Sample
	load(t, filepath.Join(releases, "today.json"), &current)
	written, err := corpus.Write()
	if err != nil {
		t.Fatal(err)
	}
	for name, sample := range written {
		if !bytes.Equal(current[name].Bytes, sample.Bytes) {
			t.Errorf("the encoding of %s has changed since the releases decoded it: run scripts/corpus.sh for each release", name)
		}
	}
	for _, release := range releaseNames(t) {
		t.Run(release+" is read", func(t *testing.T) { checkDecodesRelease(t, release) })
		t.Run(release+" reads", func(t *testing.T) { checkDecodedByRelease(t, release, current) })
	}
}

func checkDecodesRelease(t *testing.T, release string) {
	var samples map[string]corpus.Sample
	load(t, filepath.Join(releases, release, "written.json"), &samples)
	types := corpus.Types()
	for name, sample := range samples {
		kind, empty := strings.CutSuffix(name, corpus.Empty)
		if currentName := renamed[kind]; currentName != "" {
			kind = currentName
		}
		if types[kind] == nil {
			t.Errorf("message %s no longer exists: %s", kind, remedy)
			continue
		}
		reading, err := corpus.Read(map[string]corpus.Sample{kind: sample})
		if err != nil {
			t.Fatal(err)
		}
		compare(t, kind, empty, sample.Value, reading[kind], 0)
	}
}

func checkDecodedByRelease(t *testing.T, release string, current map[string]corpus.Sample) {
	var readings map[string]corpus.Reading
	load(t, filepath.Join(releases, release, "read.json"), &readings)
	for name, reading := range readings {
		kind, empty := strings.CutSuffix(name, corpus.Empty)
		rest := 0
		if datagrams[kind] {
			rest = reading.Rest
		}
		if reading.Failure != "" {
			t.Errorf("%s can't be decoded by release %s: %s; %s", name, release, reading.Failure, remedy)
			continue
		}
		compare(t, kind, empty, reading.Value, corpus.Reading{Value: current[name].Value, Rest: reading.Rest}, rest)
	}
}

// compare checks that the reading succeeded, that it holds the fields of value, and that rest
// bytes follow the message.
func compare(t *testing.T, kind string, empty bool, value json.RawMessage, reading corpus.Reading, rest int) {
	t.Helper()
	if reading.Failure != "" || reading.Rest != rest {
		t.Errorf("%s (empty: %v) can't be decoded: %s, %d bytes follow; %s", kind, empty, reading.Failure, reading.Rest, remedy)
		return
	}
	var want, got any
	decode(t, value, &want)
	decode(t, reading.Value, &got)
	if fields, isMessage := want.(map[string]any); isMessage {
		delete(fields, notSent[kind])
	}
	if path := firstDifference(want, got); path != "" {
		t.Errorf("%s (empty: %v): %s has another value: %s", kind, empty, path, remedy)
	}
}

// firstDifference returns the path of a field of want that got lacks or that differs there,
// empty if there is none. A list, text or message that is empty in one may be omitted in the
// other.
func firstDifference(want, got any) string {
	switch want := want.(type) {
	case map[string]any:
		got, same := got.(map[string]any)
		if !same {
			return "the message"
		}
		for name, field := range want {
			if path := firstDifference(field, got[name]); path != "" {
				return strings.TrimSuffix(name+"/"+path, "/value")
			}
		}
		return ""
	case []any:
		got, _ := got.([]any)
		if len(want) != len(got) {
			return "the list"
		}
		for i := range want {
			if path := firstDifference(want[i], got[i]); path != "" {
				return path
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

// TestCorpusIsComplete checks that the corpus has a sample of each message of this package.
func TestCorpusIsComplete(t *testing.T) {
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
		for _, kind := range exportedStructs(file) {
			if types[kind] == nil {
				t.Errorf("%s is not in the corpus: run scripts/corpus.sh for each release", kind)
			}
		}
	}
}

// exportedStructs returns the names of the exported struct types of a file.
func exportedStructs(file *ast.File) []string {
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

func releaseNames(t *testing.T) []string {
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
