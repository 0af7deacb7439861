// Package upstream sends opaque requests to workers over HTTP/1.1. Unlike the client of net/http,
// it never sends a request twice, knows whether any byte of the request may have reached the
// worker, and closes every connection on which an unexpected response or extra bytes arrived.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpanswer"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/promise"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	dialTimeout = 400 * time.Millisecond
	// concurrentWriteBytes is the body size from which the body is written while the response is
	// read, because a worker may respond before it has read the whole body.
	concurrentWriteBytes = 16 << 10
	// writeResultTimeout bounds the wait for the result of a write that has ended.
	writeResultTimeout = 50 * time.Millisecond
	// maxStrayResponses bounds the responses to other requests that are discarded before the
	// response to this one.
	maxStrayResponses = 2
	// defaultIdleTimeout is how long an idle connection is kept if the worker sends no Keep-Alive
	// timeout. If it sends one, the connection is closed idleMargin before that timeout ends.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = 500 * time.Millisecond
)

// Endpoint is an incarnation of a worker and its address.
type Endpoint struct {
	ID      string
	Address string
}

// Request is an opaque request.
type Request struct {
	Method string
	// Target is the path with the query, as received from the caller.
	Target  string
	Host    string
	Headers []wire.HeaderField
	Body    []byte
	// ID is the request id. A response that carries another id is discarded. Health checks and reports
	// have none, nor have their answers, so no other request may follow on their connection.
	ID string
}

// Client sends requests over pooled connections.
type Client struct {
	headers *httpheader.Names
	dialer  net.Dialer
	mutex   sync.Mutex
	idle    map[string][]*connection
	// dialed and reused count connections; guarded by mutex.
	dialed uint64
	reused uint64
	meter  *traffic.Meter
	// exitChecks holds the exit checks in progress, by worker.
	exitChecks map[string]*exitCheck
	// startTimes holds the start time that each worker last reported, in Unix milliseconds.
	startTimes map[string]int64
	// directory, if set, tells what is known about workers. drainTime is how long after it is listed as
	// leaving a worker may get requests.
	directory Directory
	drainTime time.Duration
	// healthChecks holds the latest health check of each worker. healthyChecks and unhealthyChecks
	// count them by result.
	healthChecks    map[string]*healthCheck
	healthyChecks   uint64
	unhealthyChecks uint64
}

// SetMeter sets the meter that counts the bytes of requests. It must be called before the first
// request.
func (c *Client) SetMeter(meter *traffic.Meter) { c.meter = meter }

// NewClient returns a client without connections. The names say which headers carry request ids and
// where workers report their start time.
func NewClient(names *httpheader.Names) *Client {
	return &Client{headers: names, dialer: net.Dialer{Timeout: dialTimeout}, idle: map[string][]*connection{}, exitChecks: map[string]*exitCheck{}, startTimes: map[string]int64{}, healthChecks: map[string]*healthCheck{}}
}

// Connections returns how many connections were opened, and how many requests reused an idle
// connection.
func (c *Client) Connections() (dialed, reused uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dialed, c.reused
}

// CloseIdle closes the idle connections to all workers except those for which keep returns true.
func (c *Client) CloseIdle(keep func(id string) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id := range c.startTimes {
		if !keep(id) {
			delete(c.startTimes, id)
		}
	}
	for id := range c.healthChecks {
		if !keep(id) {
			delete(c.healthChecks, id)
		}
	}
	for id, connections := range c.idle {
		if keep(id) {
			continue
		}
		for _, connection := range connections {
			_ = connection.Close()
		}
		delete(c.idle, id)
	}
}

func (c *Client) takeIdle(id string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := clock.Now()
	for {
		connections := c.idle[id]
		if len(connections) == 0 {
			return nil
		}
		last := connections[len(connections)-1]
		c.idle[id] = connections[:len(connections)-1]
		if now.Before(last.idleUntil) && last.isClean() {
			c.reused++
			return last
		}
		_ = last.Close()
	}
}

func (c *Client) putIdle(id string, connection *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle[id] = append(c.idle[id], connection)
}

func (c *Client) connect(ctx context.Context, endpoint Endpoint) (*connection, error) {
	if pooled := c.takeIdle(endpoint.ID); pooled != nil {
		return pooled, nil
	}
	return c.dial(ctx, endpoint)
}

// dial returns a new connection.
func (c *Client) dial(ctx context.Context, endpoint Endpoint) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", endpoint.Address)
	if err != nil {
		return nil, failure.Wrap(err, failure.NotRun, "try another worker", "no connection to worker %s", endpoint.ID)
	}
	c.mutex.Lock()
	c.dialed++
	c.mutex.Unlock()
	return newConnection(conn), nil
}

// Send sends a request and returns the head of its response. The failure is NotRun if no byte can
// have reached the worker, else OutcomeUnknown. The caller must close the response. When ctx ends,
// the connection is closed. headDeadline bounds the wait for the head.
func (c *Client) Send(ctx context.Context, endpoint Endpoint, request *Request, headDeadline time.Time) (*Response, error) {
	connection, err := c.connectReady(ctx, endpoint)
	if err != nil {
		return nil, err
	}
	return c.sendOver(ctx, endpoint, connection, request, headDeadline)
}

// sendOver sends a request over the given connection.
func (c *Client) sendOver(ctx context.Context, endpoint Endpoint, connection *connection, request *Request, headDeadline time.Time) (*Response, error) {
	response := &Response{client: c, endpoint: endpoint, connection: connection, written: make(chan error, 1), identified: request.ID != ""}
	response.stopCancel = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if err := response.write(request); err != nil {
		response.Close()
		return nil, c.outcomeUnknown(err, endpoint, "the request broke off")
	}
	if err := connection.SetReadDeadline(headDeadline); err != nil {
		response.Close()
		return nil, c.outcomeUnknown(err, endpoint, "the connection broke")
	}
	if err := response.readHead(request, c.headers.RequestID); err != nil {
		response.Close()
		return nil, c.outcomeUnknown(err, endpoint, "there was no answer")
	}
	return response, nil
}

func (c *Client) outcomeUnknown(err error, endpoint Endpoint, what string) error {
	return failure.Wrap(err, failure.OutcomeUnknown, "ask again if the request may be repeated", "worker %s: %s", endpoint.ID, what)
}

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Delimited is set if the worker marks the end of the body, by its length or by chunks. Other
	// bodies end with their connection.
	Delimited bool

	client     *Client
	endpoint   Endpoint
	connection *connection
	response   *http.Response
	// written delivers the result of writing the request. sent is set once it was received without an
	// error.
	written    chan error
	sent       bool
	stopCancel func() bool
	// complete is set once the body was read to its end without an error. taken is set if the worker had
	// received the whole request by then.
	complete bool
	taken    bool
	// identified is set if the request has an id.
	identified bool
	// strayResponses counts responses to other requests that came before the response to this one.
	strayResponses int
}

// write sends the request. Long bodies are written in the background while the response is read.
func (r *Response) write(request *Request) error {
	head := encodeHead(request)
	if len(request.Body) < concurrentWriteBytes {
		_, err := r.connection.Write(append(head, request.Body...))
		r.written <- err
		return err
	}
	if _, err := r.connection.Write(head); err != nil {
		return err
	}
	go func() {
		_, err := r.connection.Write(request.Body)
		r.written <- err
	}()
	return nil
}

func encodeHead(request *Request) []byte {
	var head bytes.Buffer
	head.Grow(1024 + len(request.Body))
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for _, field := range request.Headers {
		head.WriteString(field.Name + ": " + field.Value + "\r\n")
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

var errStrayResponses = errors.New("answers of other requests came instead")

// readHead reads response heads until one belongs to the request.
func (r *Response) readHead(request *Request, idHeader string) error {
	httpRequest := &http.Request{Method: request.Method}
	for {
		r.connection.setLimit("the head", maxHeadBytes)
		response, err := r.connection.reader.ReadHead(httpRequest)
		if err != nil {
			return err
		}
		echoed := response.Header.Get(idHeader)
		if echoed == "" || echoed == request.ID {
			r.setResponse(response)
			return nil
		}
		r.strayResponses++
		if r.strayResponses > maxStrayResponses || response.Close {
			return errStrayResponses
		}
		r.connection.setLimit("an answer to another request", maxStrayBytes)
		if err := discard(response.Body); err != nil {
			return err
		}
		if err := httpanswer.CheckTrailer(response); err != nil {
			return err
		}
	}
}

// discard reads a body to its end.
func discard(body io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	for {
		if _, err := body.Read(buffer); err != nil {
			if isEOF(err) {
				return nil
			}
			return err
		}
	}
}

func (r *Response) setResponse(response *http.Response) {
	r.SetLimit(AnswerLimit(""))
	r.response = response
	r.Status = response.StatusCode
	r.Header = response.Header
	r.Length = response.ContentLength
	r.Delimited = httpanswer.IsMarked(response)
}

// Statement returns what the answer states about whether the worker ran the request.
func (r *Response) Statement() promise.Statement {
	return promise.StatementOf(r.Status, r.Header.Get(r.client.headers.NotRun) != "")
}

// Read reads from the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.response.Body.Read(buffer)
	if err != nil && isEOF(err) {
		if invalid := httpanswer.CheckTrailer(r.response); invalid != nil {
			return count, invalid
		}
		r.complete = true
		r.taken = !r.Delimited && r.requestTaken()
	}
	return count, err
}

// VerifyEnd returns an error if the body may have been cut off although Read returned io.EOF: one that
// is not delimited also ends when the worker exits, or gives the request up. sentAt is when the request was
// sent.
func (r *Response) VerifyEnd(ctx context.Context, sentAt time.Time) error {
	ending := httpanswer.Ending{Marked: r.Delimited, RequestTaken: r.taken}
	if r.taken {
		ending.SameStart = r.client.provesSameStart(ctx, r.endpoint, sentAt)
	}
	if ending.IsWhole() {
		return nil
	}
	return r.client.outcomeUnknown(io.ErrUnexpectedEOF, r.endpoint, "the end of its answer is not marked, and it may have exited or given the request up")
}

// requestSent reports whether the whole request was written without an error by now.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.written:
		r.sent = err == nil
	default:
	}
	return r.sent
}

// requestTaken reports whether the worker's machine has acknowledged the whole request. If nothing is
// unacknowledged, the result of writing it is due, but the goroutine that writes may not have delivered it.
func (r *Response) requestTaken() bool {
	if !r.connection.isAcknowledged() {
		return false
	}
	if !r.sent {
		select {
		case err := <-r.written:
			r.sent = err == nil
		case <-time.After(writeResultTimeout):
		}
	}
	return r.sent && r.connection.isAcknowledged()
}

// SetLimit bounds the bytes that are read of the body from now on. Without it the bound of the longest
// answer holds.
func (r *Response) SetLimit(bytes int64) { r.connection.setLimit(PartAnswer, bytes) }

// Discard reads the rest of a body that is not needed, if it is short and comes at once. Then the
// connection can be used again.
func (r *Response) Discard() (whole bool) {
	r.connection.setLimit("a discarded body", maxDiscardBytes)
	if r.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_ = discard(r)
	}
	return r.complete
}

// SetReadDeadline sets the deadline for reads of the body.
func (r *Response) SetReadDeadline(at time.Time) error { return r.connection.SetReadDeadline(at) }

// Close ends the exchange. The connection returns to the pool only if the request has an id and was
// written whole, the response was complete and nothing unexpected was received. An answer without an id
// that came once more would be taken for that of the next request without one. Otherwise it is closed,
// which cancels the request at the worker.
func (r *Response) Close() {
	intact := r.stopCancel()
	conn := r.connection
	r.client.meter.Add(traffic.Requests, r.endpoint.Address, int(conn.sent.Swap(0)), int(conn.received.Swap(0)))
	if !intact || !r.reusable() {
		_ = r.connection.Close()
		return
	}
	r.connection.reused = true
	r.connection.idleUntil = clock.Now().Add(idleTimeout(r.Header))
	r.client.putIdle(r.endpoint.ID, r.connection)
}

func (r *Response) reusable() bool {
	if !r.identified || r.response == nil || !r.complete || r.response.Close || r.strayResponses > 0 || r.connection.reader.Buffered() > 0 {
		return false
	}
	return r.requestSent() && r.connection.SetReadDeadline(time.Time{}) == nil
}

// idleTimeout returns how long a connection may stay idle after a response with the given headers.
func idleTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
