package rpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpanswer"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	// ShortDial is the dial timeout of callers that retry anyway or can call another peer. A
	// machine without power never answers a dial, and calls that wait for the connection are
	// delayed until the dial times out. TCP resends a lost SYN only after a second, so a longer
	// timeout would help only where the round trip itself takes longer than this.
	ShortDial          = 250 * time.Millisecond
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 512
	maxHeadBytes       = 64 << 10
)

// Client makes internal calls over shared, long-lived connections.
type Client struct {
	pooled  *http.Client
	fresh   *http.Client
	traffic *trafficCounters
	meter   *traffic.Meter
}

// LimitConnections bounds the open connections of the client to max; zero means no limit. Beyond it a call
// that needs a new connection fails as not run. It must be called before the first call.
func (c *Client) LimitConnections(max int) { c.traffic.maxOpen = int64(max) }

// SetMeter makes the client count its calls by method in the meter. It must be called
// before the first call.
func (c *Client) SetMeter(meter *traffic.Meter) { c.meter = meter }

// NewClient returns a client with its own connections.
func NewClient() *Client { return NewClientWithDialTimeout(dialTimeout) }

// NewClientWithDialTimeout returns a client with its own connections whose dials time out
// after the given time.
func NewClientWithDialTimeout(timeout time.Duration) *Client {
	counters := &trafficCounters{}
	return &Client{
		pooled:  &http.Client{Transport: newTransport(false, timeout, counters)},
		fresh:   &http.Client{Transport: newTransport(true, timeout, counters)},
		traffic: counters,
	}
}

// Traffic counts what a client has sent and received so far.
type Traffic struct {
	Calls         uint64
	SentBytes     uint64
	ReceivedBytes uint64
}

// Traffic returns the calls made and the bytes on the client's connections, HTTP headers included.
func (c *Client) Traffic() Traffic {
	return Traffic{
		Calls:         c.traffic.calls.Load(),
		SentBytes:     c.traffic.sent.Load(),
		ReceivedBytes: c.traffic.received.Load(),
	}
}

// trafficCounters counts the calls of a client and the bytes on its connections.
type trafficCounters struct {
	calls    atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
	// open counts the open connections, maxOpen bounds them unless it is zero.
	open    atomic.Int64
	maxOpen int64
}

// errTooManyConnections means that a client has as many connections as it may have.
var errTooManyConnections = errors.New("too many connections are open here")

// countingConnection counts the bytes that are read from and written to a connection.
type countingConnection struct {
	net.Conn
	traffic *trafficCounters
	closed  sync.Once
}

// Close implements net.Conn.
func (c *countingConnection) Close() error {
	c.closed.Do(func() { c.traffic.open.Add(-1) })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.received.Add(uint64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.traffic.sent.Add(uint64(count))
	return count, err
}

func newTransport(fresh bool, timeout time.Duration, counters *trafficCounters) *httpanswer.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &httpanswer.Transport{MarkedEnds: true, Next: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if open := counters.open.Add(1); counters.maxOpen > 0 && open > counters.maxOpen {
				counters.open.Add(-1)
				return nil, errTooManyConnections
			}
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				counters.open.Add(-1)
				return nil, err
			}
			return &countingConnection{Conn: connection, traffic: counters}, nil
		},
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

const (
	// requestHeaderBytes and responseHeaderBytes estimate, to within about ten bytes, the
	// start line and headers that net/http writes for a call, without the method's name.
	requestHeaderBytes  = 140
	responseHeaderBytes = 130
)

// meteredBody counts the bytes read from a response body, and passes the count to onClose
// at the first Close.
type meteredBody struct {
	io.ReadCloser
	count   int
	onClose func(received int)
}

// Read implements io.Reader.
func (b *meteredBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.count += count
	return count, err
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	if b.onClose != nil {
		b.onClose(b.count)
		b.onClose = nil
	}
	return b.ReadCloser.Close()
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Call makes one call to the peer at address (IP:port). It never retries. The failure is
// NotRun if no connection was made, so that no byte of the request can have been sent; the
// peer's own typed failure if the peer answered with one; and OutcomeUnknown otherwise.
func Call[Response any, Pointer Decodable[Response]](ctx context.Context, client *Client, address, method string, request msgp.Marshaler) (*Response, error) {
	ctx, done := intake.Borrow(ctx)
	defer done()
	httpResponse, err := client.Open(ctx, address, method, request, false)
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	response := new(Response)
	if err := ReadMessage(ctx, httpResponse.Header, httpResponse.Body, Pointer(response)); err != nil {
		recordDecodeError(method, address, httpResponse.Header, err)
		return nil, failure.Wrap(err, failure.OutcomeUnknown, "ask again for the state", "the answer of %s was cut", address)
	}
	return response, nil
}

// Open makes one call and returns the open response, whose body the caller reads and
// closes. If fresh is set, Open dials a new connection for the call: a pooled connection
// that the peer closed while idle would leave the outcome unknown. The failures are those
// of Call.
func (c *Client) Open(ctx context.Context, address, method string, request msgp.Marshaler, fresh bool) (*http.Response, error) {
	if sizer, ok := request.(msgp.Sizer); ok {
		if err := intake.Hold(ctx, int64(sizer.Msgsize())); err != nil {
			return nil, err
		}
	}
	body, encoding, err := encodeBody(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "the request does not encode")
	}
	c.traffic.calls.Add(1)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "check the peer's address", "no request can be made to %q", address)
	}
	// Without GetBody, net/http can't resend the body on its own.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", ContentType)
	httpRequest.Header.Set(generationHeader, currentGeneration)
	if encoding != "" {
		httpRequest.Header.Set(encodingHeader, encoding)
	}
	// A nil value keeps net/http from sending its own User-Agent with every call.
	httpRequest.Header["User-Agent"] = nil
	httpClient := c.pooled
	if fresh {
		httpClient = c.fresh
	}
	if c.traffic.maxOpen > 0 && c.traffic.open.Load() >= c.traffic.maxOpen {
		c.pooled.CloseIdleConnections()
	}
	httpResponse, err := httpClient.Do(httpRequest)
	sent := requestHeaderBytes + len(method) + len(body)
	if err != nil {
		c.meter.Add(traffic.Kind(method), address, sent, 0)
		return nil, transportFailure(err, address, connected.Load())
	}
	httpResponse.Body = &meteredBody{ReadCloser: httpResponse.Body, onClose: func(received int) {
		c.meter.Add(traffic.Kind(method), address, sent, responseHeaderBytes+received)
	}}
	if httpResponse.StatusCode == http.StatusOK {
		return httpResponse, nil
	}
	defer httpResponse.Body.Close()
	return nil, peerFailure(httpResponse, address)
}

// transportError marks failures of the connection, in contrast to failures that the peer
// answered with.
type transportError struct{ cause error }

// Error implements error.
func (e *transportError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *transportError) Unwrap() error { return e.cause }

// IsUnreachable reports whether err is a failure of the connection: the peer may be down
// or unreachable over the network.
func IsUnreachable(err error) bool {
	var transport *transportError
	return errors.As(err, &transport)
}

func transportFailure(err error, address string, connected bool) error {
	err = &transportError{cause: err}
	if !connected {
		return failure.Wrap(err, failure.NotRun, "try another peer", "no connection to %s", address)
	}
	return failure.Wrap(err, failure.OutcomeUnknown, "ask again for the state", "the connection to %s broke", address)
}

func peerFailure(httpResponse *http.Response, address string) error {
	if httpResponse.Header.Get(failureHeader) == "" {
		return failure.New(failure.OutcomeUnknown, "check that the address is a peer's", "%s answered with status %d", address, httpResponse.StatusCode)
	}
	var remote wire.Failure
	if err := ReadMessage(httpResponse.Request.Context(), httpResponse.Header, httpResponse.Body, &remote); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "ask again for the state", "the answer of %s was cut", address)
	}
	return remote.Err()
}
