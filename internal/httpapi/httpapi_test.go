package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
)

func TestCheckHeaderSize(t *testing.T) {
	request := httptest.NewRequest(http.MethodGet, "/p", nil)
	request.Header.Set("A", strings.Repeat("x", 1000))
	for limit, want := range map[int]int{0: http.StatusOK, 2000: http.StatusOK, 900: http.StatusRequestHeaderFieldsTooLarge} {
		got := http.StatusOK
		if err := CheckHeaderSize(request, limit); err != nil {
			got = StatusCode(failure.From(err))
		}
		if got != want {
			t.Errorf("limit %d: %d, want %d", limit, got, want)
		}
	}
}

func TestReadBody(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		length int64
		limit  int64
		want   int
	}{
		"whole":                     {"abc", 3, 3, http.StatusOK},
		"empty":                     {"", 0, 3, http.StatusOK},
		"no length":                 {"abc", -1, 3, http.StatusOK},
		"longer than allowed":       {"abcd", 4, 3, http.StatusRequestEntityTooLarge},
		"no length, and longer":     {"abcd", -1, 3, http.StatusRequestEntityTooLarge},
		"shorter than announced":    {"ab", 3, 3, http.StatusBadRequest},
		"default bound, and within": {"abcd", 4, 0, http.StatusOK},
	} {
		request := httptest.NewRequest(http.MethodPost, "/p", strings.NewReader(test.body))
		request.ContentLength = test.length
		body, err := ReadBody(request, test.limit)
		got := http.StatusOK
		if err != nil {
			got = StatusCode(failure.From(err))
		}
		if got != test.want || err == nil && string(body) != test.body {
			t.Errorf("%s: %d %q, %v", name, got, body, err)
		}
	}
}

func TestParseCount(t *testing.T) {
	for value, want := range map[string]int{"": 0, "0": 0, "17": 17} {
		if got, err := ParseCount(value, "f"); err != nil || got != want {
			t.Errorf("%q: %d, %v", value, got, err)
		}
	}
	for _, value := range []string{"-1", "x", "1.5", "99999999999999999999"} {
		if _, err := ParseCount(value, "f"); !failure.Is(err, failure.BadRequest) || failure.From(err).Field != "f" {
			t.Errorf("%q: %v", value, err)
		}
	}
}
