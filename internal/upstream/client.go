// Package upstream sends opaque requests to workers over HTTP/1.1. Unlike
// net/http's client it never sends a request twice, knows whether any byte of it
// can have left, and drops every connection that showed an oddity.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	dialTimeout = 400 * time.Millisecond
	// longBody is the size from which a body is written while the answer is
	// read, because a worker may answer first.
	longBody = 16 << 10
	// maxStrays bounds the answers of other requests that are passed over.
	maxStrays = 2
	// defaultIdle is how long a connection is kept where the worker tells
	// nothing, and idleMargin how much earlier it is dropped where it does.
	defaultIdle = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
)

// Endpoint is a worker's incarnation and its address.
type Endpoint struct {
	ID      string
	Address string
}

// Request is an opaque request.
type Request struct {
	Method string
	// Target is the path with the query, as it came.
	Target  string
	Host    string
	Headers []wire.HeaderField
	Body    []byte
	// ID is the request's id, which the answer must carry if it carries any.
	ID string
}

// Client sends requests over pooled connections.
type Client struct {
	dialect *httpheader.Names
	dialer  net.Dialer
	mutex   sync.Mutex
	idle    map[string][]*connection
	// Dialed and Reused count connections, under the mutex.
	dialed uint64
	reused uint64
	meter  *traffic.Meter
	// looks holds the looks at workers that broke off, by worker, while they last.
	looks map[string]*look
	// born holds since when workers have been there, where they were looked at.
	born map[string]int64
}

// SetMeter makes the client count its requests in the meter. It must be called before
// the first request.
func (c *Client) SetMeter(meter *traffic.Meter) { c.meter = meter }

// NewClient returns a client without connections.
func NewClient(names *httpheader.Names) *Client {
	return &Client{dialect: names, dialer: net.Dialer{Timeout: dialTimeout}, idle: map[string][]*connection{}, looks: map[string]*look{}, born: map[string]int64{}}
}

// Connections returns how many connections were made, and how many requests went
// over one that was there.
func (c *Client) Connections() (dialed, reused uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dialed, c.reused
}

// CloseIdle drops the idle connections to all workers but those that keep accepts.
func (c *Client) CloseIdle(keep func(id string) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id := range c.born {
		if !keep(id) {
			delete(c.born, id)
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

func (c *Client) take(id string) *connection {
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
		if now.Before(last.idleUntil) && last.quiet() {
			c.reused++
			return last
		}
		_ = last.Close()
	}
}

func (c *Client) keep(id string, connection *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle[id] = append(c.idle[id], connection)
}

func (c *Client) connect(ctx context.Context, endpoint Endpoint) (*connection, error) {
	if pooled := c.take(endpoint.ID); pooled != nil {
		return pooled, nil
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", endpoint.Address)
	if err != nil {
		return nil, failure.Wrap(err, failure.NotRun, "try another worker", "no connection to worker %s", endpoint.ID)
	}
	c.mutex.Lock()
	c.dialed++
	c.mutex.Unlock()
	return newConnection(conn), nil
}

// Send sends a request and returns the head of its answer. The failure is NotRun
// where no byte can have left, and OutcomeUnknown otherwise. The answer must be
// closed; the end of ctx breaks the connection. headBy bounds the wait for the
// head.
func (c *Client) Send(ctx context.Context, endpoint Endpoint, request *Request, headBy time.Time) (*Response, error) {
	connection, err := c.connect(ctx, endpoint)
	if err != nil {
		return nil, err
	}
	return c.sendOver(ctx, endpoint, connection, request, headBy)
}

// sendOver sends a request over a connection.
func (c *Client) sendOver(ctx context.Context, endpoint Endpoint, connection *connection, request *Request, headBy time.Time) (*Response, error) {
	response := &Response{client: c, endpoint: endpoint, connection: connection, written: make(chan error, 1)}
	response.release = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if err := response.write(request); err != nil {
		response.Close()
		return nil, c.unknown(err, endpoint, "the request broke off")
	}
	if err := connection.SetReadDeadline(headBy); err != nil {
		response.Close()
		return nil, c.unknown(err, endpoint, "the connection broke")
	}
	if err := response.readHead(request, c.dialect.RequestID); err != nil {
		response.Close()
		return nil, c.unknown(err, endpoint, "there was no answer")
	}
	return response, nil
}

func (c *Client) unknown(err error, endpoint Endpoint, what string) error {
	return failure.Wrap(err, failure.OutcomeUnknown, "ask again if the request may be repeated", "worker %s: %s", endpoint.ID, what)
}

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not told.
	Length int64

	client     *Client
	endpoint   Endpoint
	connection *connection
	response   *http.Response
	written    chan error
	release    func() bool
	// whole is set once the body has ended as it should.
	whole bool
	// strays counts answers of other requests that came first.
	strays int
}

// write sends the request; long bodies go on their way beside the answer.
func (r *Response) write(request *Request) error {
	head := encodeHead(request)
	if len(request.Body) < longBody {
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

var errStray = errors.New("answers of other requests came instead")

// readHead reads heads until one belongs to the request.
func (r *Response) readHead(request *Request, idHeader string) error {
	asked := &http.Request{Method: request.Method}
	for {
		response, err := readResponse(r.connection.reader, asked)
		if err != nil {
			return err
		}
		echoed := response.Header.Get(idHeader)
		if echoed == "" || echoed == request.ID {
			r.adopt(response)
			return nil
		}
		r.strays++
		if r.strays > maxStrays || response.Close || discard(response) != nil {
			return errStray
		}
	}
}

// readResponse reads one final head.
func readResponse(reader *bufio.Reader, asked *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, asked)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

func discard(response *http.Response) error {
	buffer := make([]byte, readBufferBytes)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			if isEnd(err) {
				return nil
			}
			return err
		}
	}
}

func (r *Response) adopt(response *http.Response) {
	r.response = response
	r.Status = response.StatusCode
	r.Header = response.Header
	r.Length = response.ContentLength
}

// Read reads from the body. It returns io.EOF only at the end of a whole body.
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.response.Body.Read(buffer)
	if err != nil && isEnd(err) {
		r.whole = true
	}
	return count, err
}

// SetReadDeadline bounds the wait for more of the body.
func (r *Response) SetReadDeadline(at time.Time) error { return r.connection.SetReadDeadline(at) }

// Close ends the exchange. The connection is kept only if the request went out
// whole, the answer ended as it should and nothing odd was seen; otherwise it is
// closed, which cancels the request at the worker.
func (r *Response) Close() {
	intact := r.release()
	c := r.connection
	r.client.meter.Add(traffic.Requests, r.endpoint.Address, int(c.sent.Swap(0)), int(c.received.Swap(0)))
	if !intact || !r.reusable() {
		_ = r.connection.Close()
		return
	}
	r.connection.reused = true
	r.connection.idleUntil = clock.Now().Add(keepFor(r.Header))
	r.client.keep(r.endpoint.ID, r.connection)
}

func (r *Response) reusable() bool {
	if r.response == nil || !r.whole || r.response.Close || r.strays > 0 || r.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil && r.connection.SetReadDeadline(time.Time{}) == nil
	default:
		return false
	}
}

// keepFor returns how long a connection may rest after an answer.
func keepFor(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
