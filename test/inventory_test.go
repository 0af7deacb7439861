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

// inventoryPage is the page that lists the messages and log commands that different builds exchange.
const inventoryPage = "../docs/design/0015-builds-side-by-side.md"

// TestInventoryIsComplete checks that the inventory has a row for each method between processes and
// for each command in the logs of coordinators and stores. The row must say how older and newer
// builds handle it.
func TestInventoryIsComplete(t *testing.T) {
	page, err := os.ReadFile(inventoryPage)
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
				t.Errorf("method %[2]s in %[1]s has no row: add one to the inventory", name, match[1])
			}
		}
	}
	if found < 30 {
		t.Errorf("found only %d methods, want at least 30", found)
	}
	for _, command := range []any{wire.FleetCommand{}, wire.BatchCommand{}} {
		kind := reflect.TypeOf(command)
		for i := range kind.NumField() {
			name, _, _ := strings.Cut(kind.Field(i).Tag.Get("msg"), ",")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("command %s of %s has no row: add one to the inventory", name, kind.Name())
			}
		}
	}
}
