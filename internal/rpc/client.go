package rpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	// ShortDial bounds a dial by a caller that sends again anyhow, or has others to ask: a
	// machine that is dark answers none, and what waits behind the dial waits as long. A
	// first packet that was lost is repeated after a second only, so more time helps where
	// the way there and back takes longer than this, and nowhere else.
	ShortDial          = 250 * time.Millisecond
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 512
)

// Client makes internal calls over shared, long-lived connections.
type Client struct {
	pooled  *http.Client
	fresh   *http.Client
	traffic *connectionBytes
	meter   *traffic.Meter
}

// SetMeter makes the client count its calls by method in the meter. It must be called
// before the first call.
func (c *Client) SetMeter(meter *traffic.Meter) { c.meter = meter }

// NewClient returns a client with its own connections.
func NewClient() *Client { return NewClientWithDialTimeout(dialTimeout) }

// NewClientWithDialTimeout returns a client that gives a dial up after the given time.
func NewClientWithDialTimeout(dial time.Duration) *Client {
	counted := &connectionBytes{}
	return &Client{
		pooled:  &http.Client{Transport: newTransport(false, dial, counted)},
		fresh:   &http.Client{Transport: newTransport(true, dial, counted)},
		traffic: counted,
	}
}

// Traffic is what a client has sent and received so far.
type Traffic struct {
	Calls         uint64
	SentBytes     uint64
	ReceivedBytes uint64
}

// Traffic returns the bytes on the client's connections, headers included.
func (c *Client) Traffic() Traffic {
	return Traffic{
		Calls:         c.traffic.calls.Load(),
		SentBytes:     c.traffic.sent.Load(),
		ReceivedBytes: c.traffic.received.Load(),
	}
}

// connectionBytes counts calls and the bytes on connections.
type connectionBytes struct {
	calls    atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

// countedConnection counts the bytes that pass through a connection.
type countedConnection struct {
	net.Conn
	traffic *connectionBytes
}

// Read implements net.Conn.
func (c countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.received.Add(uint64(count))
	return count, err
}

// Write implements net.Conn.
func (c countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.traffic.sent.Add(uint64(count))
	return count, err
}

func newTransport(fresh bool, dial time.Duration, counted *connectionBytes) *http.Transport {
	dialer := &net.Dialer{Timeout: dial}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConnection{connection, counted}, nil
		},
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
}

const (
	// requestHeadBytes and answerHeadBytes are how long the heads of a call are that
	// net/http writes, without the method's name, to within some ten bytes.
	requestHeadBytes = 140
	answerHeadBytes  = 130
)

// meteredBody counts what is read of an answer's body, and tells it once at the end.
type meteredBody struct {
	io.ReadCloser
	count int
	done  func(received int)
}

// Read implements io.Reader.
func (b *meteredBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.count += count
	return count, err
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	if b.done != nil {
		b.done(b.count)
		b.done = nil
	}
	return b.ReadCloser.Close()
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Call makes one call to the peer at address (IP:port). It never retries. The
// failure is NotRun when no connection was made, so that no byte of the
// request can have left; the peer's own typed failure when it answered with
// one; and OutcomeUnknown otherwise.
func Call[Response any, Pointer Decodable[Response]](ctx context.Context, client *Client, address, method string, request msgp.Marshaler) (*Response, error) {
	httpResponse, err := client.Open(ctx, address, method, request, false)
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	response := new(Response)
	if err := ReadMessage(httpResponse.Header, httpResponse.Body, Pointer(response)); err != nil {
		noteUnread(method, address, httpResponse.Header, err)
		return nil, failure.Wrap(err, failure.OutcomeUnknown, "ask again for the state", "the answer of %s was cut", address)
	}
	return response, nil
}

// Open makes one call and returns the open answer, whose body the caller reads
// and closes. With fresh set a new connection is dialled for the call, so that
// a connection which the peer closed while idle can't leave its outcome
// unknown. The failures are those of Call.
func (c *Client) Open(ctx context.Context, address, method string, request msgp.Marshaler, fresh bool) (*http.Response, error) {
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
	// Without GetBody net/http never sends the body a second time by itself.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", ContentType)
	httpRequest.Header.Set(generationHeader, currentGeneration)
	if encoding != "" {
		httpRequest.Header.Set(encodingHeader, encoding)
	}
	// Without this net/http names itself in every call.
	httpRequest.Header["User-Agent"] = nil
	httpClient := c.pooled
	if fresh {
		httpClient = c.fresh
	}
	httpResponse, err := httpClient.Do(httpRequest)
	sent := requestHeadBytes + len(method) + len(body)
	if err != nil {
		c.meter.Add(traffic.Kind(method), address, sent, 0)
		return nil, transportFailure(err, address, connected.Load())
	}
	httpResponse.Body = &meteredBody{ReadCloser: httpResponse.Body, done: func(received int) {
		c.meter.Add(traffic.Kind(method), address, sent, answerHeadBytes+received)
	}}
	if httpResponse.StatusCode == http.StatusOK {
		return httpResponse, nil
	}
	defer httpResponse.Body.Close()
	return nil, peerFailure(httpResponse, address)
}

// transportError marks failures of the connection, as against failures that the
// peer itself answered.
type transportError struct{ cause error }

// Error implements error.
func (e *transportError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *transportError) Unwrap() error { return e.cause }

// IsUnreachable reports whether the failure is one of the connection: the peer may
// be dead or cut off.
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
	var told wire.Failure
	if err := ReadMessage(httpResponse.Header, httpResponse.Body, &told); err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "ask again for the state", "the answer of %s was cut", address)
	}
	return told.Err()
}
