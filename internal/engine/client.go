package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpanswer"
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdleConnections = 256
	maxReplyBytes      = 4 << 20
	maxHeadBytes       = 64 << 10
)

// RejectedError is an engine's rejection of a call.
type RejectedError struct {
	Code    string
	Message string
	Epoch   uint64
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the engine refused: %s (%s)", e.Message, e.Code)
}

// NotStarted reports whether the rejection states that this attempt was not started and will not be. An
// unknown code, as of a newer engine, states nothing.
func (e *RejectedError) NotStarted() bool {
	switch e.Code {
	case CodeStaleEpoch, CodeUnknownModel, CodeLeaving, CodeSaturated, CodeInvalid, CodeBusy:
		return true
	}
	return false
}

// Client calls engines over its own connections. Online and batch work use different
// clients, so that batch work can't delay online work.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{
		pooled: &http.Client{Transport: newTransport(false)},
		fresh:  &http.Client{Transport: newTransport(true)},
	}
}

func newTransport(fresh bool) *httpanswer.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &httpanswer.Transport{Next: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Generate starts an attempt and returns its stream. If the attempt certainly did not start, the error is
// a *RejectedError with NotStarted or a NotRun failure.
// If fresh is set, Generate dials a new connection.
func (c *Client) Generate(ctx context.Context, address string, request *GenerateRequest, fresh bool) (*Stream, error) {
	client := c.pooled
	if fresh {
		client = c.fresh
	}
	response, err := c.send(ctx, client, http.MethodPost, "http://"+address+PathGenerate, request)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, request.AttemptID, request.ContinueTokens), nil
}

// Resume reads the stream of a running or recently ended attempt from the offset, in tokens.
func (c *Client) Resume(ctx context.Context, address, attemptID string, offset int) (*Stream, error) {
	query := url.Values{"attempt_id": {attemptID}, "offset": {strconv.Itoa(offset)}}
	response, err := c.send(ctx, c.pooled, http.MethodGet, "http://"+address+PathStreams+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, attemptID, offset), nil
}

// Cancel stops an attempt. Cancelling an unknown attempt is not an error.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	return c.call(ctx, http.MethodPost, address, PathCancel, &CancelRequest{AttemptID: attemptID}, nil)
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	load := &Load{}
	return load, c.call(ctx, http.MethodGet, address, PathLoad, nil, load)
}

// Order sends a fenced order to an engine.
func (c *Client) Order(ctx context.Context, address string, order *Order) error {
	return c.call(ctx, http.MethodPost, address, PathOrders, order, nil)
}

// CacheEvents returns the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (*CacheEvents, error) {
	page := &CacheEvents{}
	path := PathEvents + "?after=" + strconv.FormatUint(after, 10)
	return page, c.call(ctx, http.MethodGet, address, path, nil, page)
}

func (c *Client) call(ctx context.Context, method, address, path string, request, reply any) error {
	response, err := c.send(ctx, c.pooled, method, "http://"+address+path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if reply == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
		return err
	}
	return httpanswer.DecodeJSON(response.Body, maxReplyBytes, reply)
}

// send makes one call and returns the response if its status is 200.
func (c *Client) send(ctx context.Context, client *http.Client, method, address string, request any) (*http.Response, error) {
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return nil, errors.Wrap(err, "the request does not encode")
		}
		body = bytes.NewReader(encoded)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, address, body)
	if err != nil {
		return nil, errors.Wrap(err, "the request can't be made")
	}
	// Without GetBody, net/http can't resend the body on its own.
	httpRequest.GetBody = nil
	response, err := client.Do(httpRequest)
	if err != nil && !connected.Load() {
		return nil, failure.Wrap(err, failure.NotRun, "try another worker", "no connection to the engine")
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.OutcomeUnknown, "resume the stream, or start again if the request may be repeated", "the connection to the engine broke")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readRejection(response)
}

func readRejection(response *http.Response) error {
	var body ErrorBody
	if err := httpanswer.DecodeJSON(response.Body, maxReplyBytes, &body); err != nil || body.Code == "" {
		return failure.New(failure.OutcomeUnknown, "check that the address is an engine's", "the engine answered with status %d", response.StatusCode)
	}
	return &RejectedError{Code: body.Code, Message: body.Message, Epoch: body.Epoch}
}
