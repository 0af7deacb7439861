package tenancy

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestKeyHashRoundTrip(t *testing.T) {
	hash := HashKey("secret")
	encoded, err := json.Marshal([]KeyHash{hash})
	if err != nil || strings.Contains(string(encoded), "secret") {
		t.Fatalf("%s, %v", encoded, err)
	}
	var decoded []KeyHash
	if err := json.Unmarshal(encoded, &decoded); err != nil || decoded[0] != hash {
		t.Errorf("%v, %v", decoded, err)
	}
	whole := "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	var read KeyHash
	if err := read.UnmarshalText([]byte(whole)); err != nil || read != hash {
		t.Errorf("from a whole digest: %x, %v", read, err)
	}
	for _, wrong := range []string{"", "secret", whole[:30], whole + "00"} {
		if err := read.UnmarshalText([]byte(wrong)); err == nil {
			t.Errorf("%q was accepted as a hash", wrong)
		}
	}
}

// TestScopedNamesAreUnique checks that two owners never share a scoped name, and that no id
// accepted from a caller equals a scoped name.
func TestScopedNamesAreUnique(t *testing.T) {
	names := map[string]string{}
	for _, owner := range []Name{"", "a", "b", "ab", "a/b"} {
		for _, id := range []string{"c", "b/c", "bc", "/c"} {
			scoped, description := ScopedName(owner, id), string(owner)+" owns "+id
			if other := names[scoped]; other != "" {
				t.Errorf("%s, and so does %s", description, other)
			}
			names[scoped] = description
			if owner != "" && IsPlainText(scoped) {
				t.Errorf("scoped name %q would be accepted as an id from a caller", scoped)
			}
		}
	}
	if !IsPlainText("5c1e07a2") || IsPlainText("a\x00b") || IsPlainText("a\nb") {
		t.Error("IsPlainText does not detect control characters")
	}
}
