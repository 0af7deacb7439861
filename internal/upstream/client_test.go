package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// testTimeout bounds the waits of tests for a peer on the same machine.
const testTimeout = 10 * time.Second

// script handles the requests of one connection: each function gets one request and writes the
// response. After the last function the connection is closed.
type script []func(request *http.Request, body string, connection net.Conn)

// worker serves each connection with one script and counts the requests.
type worker struct {
	endpoint Endpoint
	requests atomic.Int64
}

func startWorker(t *testing.T, scripts ...script) *worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	w := &worker{endpoint: Endpoint{ID: "w-1", Address: listener.Addr().String()}}
	go func() {
		for _, steps := range scripts {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(steps, connection)
		}
	}()
	return w
}

func (w *worker) serve(steps script, connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for _, step := range steps {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		w.requests.Add(1)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		step(request, string(body), connection)
	}
}

// respondWith writes a fixed response.
func respondWith(answer string) func(*http.Request, string, net.Conn) {
	return func(_ *http.Request, _ string, connection net.Conn) { _, _ = connection.Write([]byte(answer)) }
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nSedgemast-Request-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func send(t *testing.T, client *Client, w *worker, id string) (string, error) {
	t.Helper()
	request := &Request{Method: http.MethodPost, Target: "/p/a?b=c", Host: "h.example", ID: id, Body: []byte("hello"),
		Headers: []wire.HeaderField{{Name: "Sedgemast-Request-Id", Value: id}}}
	response, err := client.Send(context.Background(), w.endpoint, request, time.Now().Add(testTimeout))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan string, 1)
	w := startWorker(t, script{func(request *http.Request, body string, connection net.Conn) {
		got <- request.Method + " " + request.RequestURI + " " + request.Host + " " + request.Header.Get("Sedgemast-Request-Id") + " " + body
		respondWith(okResponse("1", "ok"))(request, body, connection)
	}})
	if body, err := send(t, NewClient(httpheader.Default()), w, "1"); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	if want := "POST /p/a?b=c h.example 1 hello"; <-got != want {
		t.Errorf("the worker did not receive %q", want)
	}
}

func TestConnectionIsReused(t *testing.T) {
	w := startWorker(t, script{respondWith(okResponse("1", "a")), respondWith(okResponse("2", "b"))})
	client := NewClient(httpheader.Default())
	for _, id := range []string{"1", "2"} {
		if _, err := send(t, client, w, id); err != nil {
			t.Fatal(err)
		}
	}
	if dialed, reused := client.Connections(); dialed != 1 || reused != 1 {
		t.Errorf("%d dialed, %d reused", dialed, reused)
	}
}

// TestConnectionClosedAfterUnexpectedResponse checks that a connection is not reused after an
// unexpected response, and that no request is sent twice.
func TestConnectionClosedAfterUnexpectedResponse(t *testing.T) {
	cases := map[string]string{
		"bytes after the answer":            okResponse("1", "a") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"connection: close":                 "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
		"no length":                         "HTTP/1.0 200 OK\r\n\r\na",
		"response to another request first": okResponse("0", "x") + okResponse("1", "a"),
		"keep-alive timeout of zero":        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na",
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, script{respondWith(first)}, script{respondWith(okResponse("2", "b"))})
			client := NewClient(httpheader.Default())
			if body, err := send(t, client, w, "1"); err != nil || body != "a" {
				t.Fatalf("%q, %v", body, err)
			}
			if body, err := send(t, client, w, "2"); err != nil || body != "b" {
				t.Fatalf("%q, %v", body, err)
			}
			if dialed, _ := client.Connections(); dialed != 2 || w.requests.Load() != 2 {
				t.Errorf("%d connections, %d requests", dialed, w.requests.Load())
			}
		})
	}
}

func TestBrokenResponseIsNeverComplete(t *testing.T) {
	cases := map[string]string{
		"cut within the length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		"cut within a chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"cut within the head":   "HTTP/1.1 200 OK\r\nConte",
		"no answer at all":      "",
		"no HTTP":               "hello\r\n\r\n",
		"only strays":           okResponse("8", "x") + okResponse("9", "y") + okResponse("7", "z") + okResponse("6", "z"),
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, script{respondWith(first)})
			body, err := send(t, NewClient(httpheader.Default()), w, "1")
			if err == nil {
				t.Fatalf("a broken response was accepted as complete: %q", body)
			}
			if failure.Is(err, failure.NotRun) {
				t.Errorf("the failure is NotRun, though the request was sent: %v", err)
			}
			if w.requests.Load() != 1 {
				t.Errorf("%d requests were sent", w.requests.Load())
			}
		})
	}
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &worker{endpoint: Endpoint{ID: "w-1", Address: listener.Addr().String()}}
	_ = listener.Close()
	if _, err := send(t, NewClient(httpheader.Default()), w, "1"); !failure.Is(err, failure.NotRun) {
		t.Errorf("%v", err)
	}
}

func TestContextCancelClosesWorkerConnection(t *testing.T) {
	closed := make(chan struct{})
	w := startWorker(t, script{func(_ *http.Request, _ string, connection net.Conn) {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"))
		// The read returns when the other side closes the connection.
		_, _ = connection.Read(make([]byte, 1))
		close(closed)
	}})
	ctx, cancel := context.WithCancel(context.Background())
	request := &Request{Method: http.MethodPost, Target: "/", Host: "h"}
	response, err := NewClient(httpheader.Default()).Send(ctx, w.endpoint, request, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	cancel()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the worker's connection is still open")
	}
}

func TestUnansweredRequestTimesOut(t *testing.T) {
	w := startWorker(t, script{func(_ *http.Request, _ string, connection net.Conn) { _, _ = connection.Read(make([]byte, 1)) }})
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h"}
	_, err := NewClient(httpheader.Default()).Send(context.Background(), w.endpoint, request, time.Now().Add(20*time.Millisecond))
	if !TimedOut(err) || !failure.Is(err, failure.OutcomeUnknown) {
		t.Errorf("%v", err)
	}
}

// TestEarlyResponseClosesConnection checks that a connection is not reused if the worker responded
// before it had read the whole body. Otherwise the worker would take the rest of the body for the
// next request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	release := make(chan struct{})
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		_, _ = connection.Write([]byte("HTTP/1.1 503 Busy\r\nSedgemast-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		<-release
	}()
	client := NewClient(httpheader.Default())
	request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)}
	response, err := client.Send(context.Background(), Endpoint{ID: "w", Address: listener.Addr().String()}, request, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(response)
	response.Close()
	close(release)
	if client.takeIdle("w") != nil {
		t.Error("the connection was kept for reuse")
	}
}

// TestReadAfterStallReturnsReceivedData reads from a connection whose deadline passed long ago, as
// after a stall of this process. Data that the worker sent in the meantime must be returned;
// without data the read must time out.
func TestReadAfterStallReturnsReceivedData(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	worker, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	if _, err := worker.Write([]byte("event")); err != nil {
		t.Fatal(err)
	}
	c := newConnection(dialed)
	expired := time.Now().Add(-time.Minute)
	if err := c.SetReadDeadline(expired); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 16)
	if count, err := c.Read(buffer); err != nil || string(buffer[:count]) != "event" {
		t.Errorf("%q, %v", buffer[:count], err)
	}
	if err := c.SetReadDeadline(expired); err != nil {
		t.Fatal(err)
	}
	if count, err := c.Read(buffer); !TimedOut(err) {
		t.Errorf("%q, %v", buffer[:count], err)
	}
}
