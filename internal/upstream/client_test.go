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

// patience bounds what a test waits for a peer on the same machine.
const patience = 10 * time.Second

// script answers the requests of one connection: each function gets the request
// read and writes what it likes. After the last one the connection is closed.
type script []func(request *http.Request, body string, connection net.Conn)

// worker runs a script per connection and counts the requests.
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
			go w.play(steps, connection)
		}
	}()
	return w
}

func (w *worker) play(steps script, connection net.Conn) {
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

// say writes a fixed answer.
func say(answer string) func(*http.Request, string, net.Conn) {
	return func(_ *http.Request, _ string, connection net.Conn) { _, _ = connection.Write([]byte(answer)) }
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nSedgemast-Request-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func ask(t *testing.T, client *Client, w *worker, id string) (string, error) {
	t.Helper()
	request := &Request{Method: http.MethodPost, Target: "/p/a?b=c", Host: "h.example", ID: id, Body: []byte("hello"),
		Headers: []wire.HeaderField{{Name: "Sedgemast-Request-Id", Value: id}}}
	response, err := client.Send(context.Background(), w.endpoint, request, time.Now().Add(patience))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestRequestArrivesAsItIs(t *testing.T) {
	got := make(chan string, 1)
	w := startWorker(t, script{func(request *http.Request, body string, connection net.Conn) {
		got <- request.Method + " " + request.RequestURI + " " + request.Host + " " + request.Header.Get("Sedgemast-Request-Id") + " " + body
		say(answer("1", "ok"))(request, body, connection)
	}})
	if body, err := ask(t, NewClient(httpheader.Default()), w, "1"); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	if want := "POST /p/a?b=c h.example 1 hello"; <-got != want {
		t.Errorf("the worker did not get %q", want)
	}
}

func TestConnectionIsKept(t *testing.T) {
	w := startWorker(t, script{say(answer("1", "a")), say(answer("2", "b"))})
	client := NewClient(httpheader.Default())
	for _, id := range []string{"1", "2"} {
		if _, err := ask(t, client, w, id); err != nil {
			t.Fatal(err)
		}
	}
	if dialed, reused := client.Connections(); dialed != 1 || reused != 1 {
		t.Errorf("%d dialed, %d reused", dialed, reused)
	}
}

// TestOddConnectionsAreDropped checks that a connection that showed an oddity
// carries no second request, and that none is sent twice.
func TestOddConnectionsAreDropped(t *testing.T) {
	cases := map[string]string{
		"bytes after the answer":  answer("1", "a") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"connection: close":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
		"no length":               "HTTP/1.0 200 OK\r\n\r\na",
		"a stray answer before":   answer("0", "x") + answer("1", "a"),
		"a keep-alive of nothing": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na",
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, script{say(first)}, script{say(answer("2", "b"))})
			client := NewClient(httpheader.Default())
			if body, err := ask(t, client, w, "1"); err != nil || body != "a" {
				t.Fatalf("%q, %v", body, err)
			}
			if body, err := ask(t, client, w, "2"); err != nil || body != "b" {
				t.Fatalf("%q, %v", body, err)
			}
			if dialed, _ := client.Connections(); dialed != 2 || w.requests.Load() != 2 {
				t.Errorf("%d connections, %d requests", dialed, w.requests.Load())
			}
		})
	}
}

func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	cases := map[string]string{
		"cut within the length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		"cut within a chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"cut within the head":   "HTTP/1.1 200 OK\r\nConte",
		"no answer at all":      "",
		"no HTTP":               "hello\r\n\r\n",
		"only strays":           answer("8", "x") + answer("9", "y") + answer("7", "z") + answer("6", "z"),
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, script{say(first)})
			body, err := ask(t, NewClient(httpheader.Default()), w, "1")
			if err == nil {
				t.Fatalf("it counts as whole: %q", body)
			}
			if failure.Is(err, failure.NotRun) {
				t.Errorf("it counts as not run: %v", err)
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
	if _, err := ask(t, NewClient(httpheader.Default()), w, "1"); !failure.Is(err, failure.NotRun) {
		t.Errorf("%v", err)
	}
}

func TestEndOfContextCancelsAtTheWorker(t *testing.T) {
	closed := make(chan struct{})
	w := startWorker(t, script{func(_ *http.Request, _ string, connection net.Conn) {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"))
		// The read ends when the other side closes.
		_, _ = connection.Read(make([]byte, 1))
		close(closed)
	}})
	ctx, cancel := context.WithCancel(context.Background())
	request := &Request{Method: http.MethodPost, Target: "/", Host: "h"}
	response, err := NewClient(httpheader.Default()).Send(ctx, w.endpoint, request, time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	cancel()
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the worker's connection is still open")
	}
}

func TestSilenceTimesOut(t *testing.T) {
	w := startWorker(t, script{func(_ *http.Request, _ string, connection net.Conn) { _, _ = connection.Read(make([]byte, 1)) }})
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h"}
	_, err := NewClient(httpheader.Default()).Send(context.Background(), w.endpoint, request, time.Now().Add(20*time.Millisecond))
	if !TimedOut(err) || !failure.Is(err, failure.OutcomeUnknown) {
		t.Errorf("%v", err)
	}
}

// TestEarlyAnswer checks that the rest of a long body that the worker had not
// read is never taken for a next request: the connection is not kept.
func TestEarlyAnswer(t *testing.T) {
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
	response, err := client.Send(context.Background(), Endpoint{ID: "w", Address: listener.Addr().String()}, request, time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(response)
	response.Close()
	close(release)
	if client.take("w") != nil {
		t.Error("the connection was kept")
	}
}

// TestAnswerBeforeTheSilence reads from a connection whose time was over long ago, as after a
// standstill of this process: what the worker sent meanwhile is read, and nothing is a
// timeout still.
func TestAnswerBeforeTheSilence(t *testing.T) {
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
	long := time.Now().Add(-time.Minute)
	if err := c.SetReadDeadline(long); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 16)
	if count, err := c.Read(buffer); err != nil || string(buffer[:count]) != "event" {
		t.Errorf("%q, %v", buffer[:count], err)
	}
	if err := c.SetReadDeadline(long); err != nil {
		t.Fatal(err)
	}
	if count, err := c.Read(buffer); !TimedOut(err) {
		t.Errorf("%q, %v", buffer[:count], err)
	}
}
