package httpanswer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestSoundAnswersAreRead guards against rejecting what HTTP/1.1 allows. Two answers follow each other.
func TestSoundAnswersAreRead(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer string
		status         int
		body           string
	}{
		"length":          {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 200, "ab"},
		"chunks":          {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1;x=y\r\nb\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ab"},
		"interim answers": {http.MethodGet, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", 599, ""},
		"no reason":       {http.MethodGet, "HTTP/1.1 204\r\nX!#$%&'*+-.^_`|~1: a\tb\x80\r\nEmpty:\r\n\r\n", 204, ""},
		"to HEAD":         {http.MethodHead, "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n", 200, ""},
	} {
		reader := NewReader(strings.NewReader(test.answer+test.answer), 4<<10)
		for range 2 {
			response, err := reader.ReadHead(&http.Request{Method: test.method})
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != test.status || string(body) != test.body || CheckTrailer(response) != nil {
				t.Errorf("%s: %d, %q, %v, %v", name, response.StatusCode, body, err, CheckTrailer(response))
			}
		}
		if left := reader.Buffered(); left > 0 {
			t.Errorf("%s: %d bytes were not read", name, left)
		}
	}
}

// TestInvalidHeadIsTyped checks that a head that net/http takes fails with an InvalidError.
func TestInvalidHeadIsTyped(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 600 Odd\r\n\r\n", "HTTP/1.1 101 Odd\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 103 Odd\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		_, err := NewReader(strings.NewReader(head), 4<<10).ReadHead(&http.Request{Method: http.MethodGet})
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// TestUnmarkedEndNeedsProof checks which ends of a body show that it is whole.
func TestUnmarkedEndNeedsProof(t *testing.T) {
	for _, test := range []struct {
		ending Ending
		want   bool
	}{
		{Ending{Marked: true}, true},
		{Ending{RequestTaken: true, SameStart: true}, true},
		{Ending{RequestTaken: true}, false},
		{Ending{SameStart: true}, false},
		{Ending{}, false},
	} {
		if got := test.ending.IsWhole(); got != test.want {
			t.Errorf("%+v: whole %t", test.ending, got)
		}
	}
}
