package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// sendWithoutEnd writes the prefix, then the piece until the connection is closed or limit bytes are sent.
func sendWithoutEnd(prefix, piece string, limit int) func(*http.Request, string, net.Conn) {
	piece = strings.Repeat(piece, 1+(4<<10)/len(piece))
	return func(_ *http.Request, _ string, connection net.Conn) {
		sent, err := io.WriteString(connection, prefix)
		for err == nil && sent < limit {
			var count int
			count, err = io.WriteString(connection, piece)
			sent += count
		}
	}
}

// TestAnswerWithoutEndIsCut guards against reading what a worker sends without end: each part of an answer
// fails at its bound, long before the worker stops.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	const endless = 128 << 20
	head := "HTTP/1.1 200 OK\r\nSedgemast-Request-Id: 1\r\n"
	for name, test := range map[string]struct{ prefix, piece, part string }{
		"head":              {"HTTP/1.1 200 ", "x", "the head"},
		"header lines":      {head, "X-A: b\r\n", "the head"},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n", "the head"},
		"stray body":        {"HTTP/1.1 200 OK\r\nSedgemast-Request-Id: 0\r\nContent-Length: 1099511627776\r\n\r\n", "x", "an answer to another request"},
		"body, length":      {head + "Content-Length: 1099511627776\r\n\r\n", "x", PartAnswer},
		"body, neither":     {head + "\r\n", "x", PartAnswer},
		"body, chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", PartAnswer},
		"chunk line":        {head + "Transfer-Encoding: chunked\r\n\r\n5;", "x", ""},
		"chunk extensions":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", ""},
		"trailers":          {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", ""},
		"trailer, one line": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "b", ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, script{sendWithoutEnd(test.prefix, test.piece, endless)})
			client := NewClient(httpheader.Default())
			response, err := client.Send(context.Background(), w.endpoint, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1"}, time.Now().Add(testTimeout))
			if err == nil {
				defer response.Close()
				response.SetLimit(1 << 20)
				_ = response.SetReadDeadline(time.Now().Add(testTimeout))
				var read int64
				if read, err = io.Copy(io.Discard, response); read > 1<<20+readBufferBytes {
					t.Errorf("%d bytes read", read)
				}
			}
			if err == nil || TimedOut(err) || ExceededLimit(err) != test.part {
				t.Errorf("%v, want a failure at the bound of %q", err, test.part)
			}
		})
	}
}

// TestDiscardEnds guards against holding a request until the end of a body that is not needed.
func TestDiscardEnds(t *testing.T) {
	head := "HTTP/1.1 500 Internal Server Error\r\nSedgemast-Request-Id: 1\r\nContent-Length: "
	for name, test := range map[string]struct {
		serve func(*http.Request, string, net.Conn)
		want  bool
	}{
		"short":       {respondWith(head + "3\r\n\r\nabc"), true},
		"without end": {sendWithoutEnd(head+"1099511627776\r\n\r\n", "x", 128<<20), false},
		"slow": {func(_ *http.Request, _ string, connection net.Conn) {
			_, _ = io.WriteString(connection, head+"3\r\n\r\na")
			time.Sleep(testTimeout)
		}, false},
	} {
		w := startWorker(t, script{test.serve})
		response, err := NewClient(httpheader.Default()).Send(context.Background(), w.endpoint, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1"}, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		startedAt := time.Now()
		response.Discard()
		if took := time.Since(startedAt); response.complete != test.want || took > testTimeout/2 {
			t.Errorf("%s: complete %t after %s", name, response.complete, took)
		}
		response.Close()
	}
}

// TestEventWithoutEndIsNotKept guards against keeping, and searching again and again, an event that never
// ends.
func TestEventWithoutEndIsNotKept(t *testing.T) {
	var parser EventParser
	piece := bytes.Repeat([]byte("x"), readBufferBytes)
	for fed := 0; fed < 64<<20; fed += len(piece) {
		if len(parser.Feed(piece)) > 0 {
			t.Fatal("an event")
		}
	}
	if parser.Buffered() > maxEventBytes+len(piece) || ExceededLimit(parser.Err()) != "one event" {
		t.Errorf("%d bytes kept, %v", parser.Buffered(), parser.Err())
	}
	if events := parser.Feed([]byte("\n\nid: 1\ndata: x\n\n")); len(events) > 0 {
		t.Errorf("%d events after one that was too long", len(events))
	}
}

// TestLongestEventIsTaken guards against a bound below what a sound worker may send.
func TestLongestEventIsTaken(t *testing.T) {
	var parser EventParser
	long := append(bytes.Repeat([]byte("x"), maxEventBytes-8), "\n\n"...)
	for rest := append([]byte("data: "), long...); len(rest) > 0; {
		length := min(1000, len(rest))
		events := parser.Feed(rest[:length])
		if rest = rest[length:]; len(rest) == 0 && (len(events) != 1 || parser.Err() != nil) {
			t.Errorf("%d events, %v", len(events), parser.Err())
		}
	}
}

// TestAnswerLimit checks the bounds of answers by the tokens that a request asks for.
func TestAnswerLimit(t *testing.T) {
	for tokens, want := range map[string]int64{"": maxAnswerBytes, "10": maxAnswerBytes, "10,-1": maxAnswerBytes, "10,100": minAnswerBytes + 100*maxTokenBytes, "10,99999999999": maxAnswerBytes} {
		if got := AnswerLimit(tokens); got != want {
			t.Errorf("%q: %d, want %d", tokens, got, want)
		}
	}
	if TooManyEvents(3, "10,3") || !TooManyEvents(4, "10,3") || TooManyEvents(4, "10") {
		t.Error("events are not compared with the tokens asked for")
	}
}
