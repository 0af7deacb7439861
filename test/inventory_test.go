package test

import (
	"os"
	"os/exec"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// inventory is the page on what one build writes and another reads.
const inventory = "../docs/design/0015-builds-side-by-side.md"

// TestInventoryIsWhole checks that each method between processes, and each command of the
// logs of coordinators and stores, has a row in the inventory: what is added there says
// what an older and a newer reader make of it.
func TestInventoryIsWhole(t *testing.T) {
	page, err := os.ReadFile(inventory)
	if err != nil {
		t.Fatal(err)
	}
	files, err := exec.Command("git", "ls-files", "../internal/*.go").Output()
	if err != nil {
		t.Fatal(err)
	}
	method := regexp.MustCompile(`\b[mM]ethod\w* += "(\w+)"`)
	found := 0
	for _, name := range strings.Fields(string(files)) {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range method.FindAllStringSubmatch(string(content), -1) {
			found++
			if !strings.Contains(string(page), "`"+match[1]+"`") {
				t.Errorf("%s has the method %s, which has no row", name, match[1])
			}
		}
	}
	if found < 30 {
		t.Errorf("only %d methods were found", found)
	}
	for _, command := range []any{wire.FleetCommand{}, wire.BatchCommand{}} {
		kind := reflect.TypeOf(command)
		for i := range kind.NumField() {
			name, _, _ := strings.Cut(kind.Field(i).Tag.Get("msg"), ",")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("the command %s of %s has no row", name, kind.Name())
			}
		}
	}
}
