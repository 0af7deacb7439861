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
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdleConnections = 256
	maxReplyBytes      = 4 << 20
)

// RejectedError is an engine's refusal of a call, before anything was started.
type RejectedError struct {
	Code    string
	Message string
	Epoch   uint64
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the engine refused: %s (%s)", e.Message, e.Code)
}

// Client speaks to engines over its own connections, apart from those of other
// clients, so that batch work can't hold up online work.
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

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Generate starts an attempt and returns its stream. The error is a
// *RefusedError or a NotRun failure if it truly did not start, otherwise an
// OutcomeUnknown failure. With fresh set a new connection is dialled.
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

// Resume reads the stream of a running or just ended attempt from the offset.
func (c *Client) Resume(ctx context.Context, address, attemptID string, offset int) (*Stream, error) {
	query := url.Values{"attempt_id": {attemptID}, "offset": {strconv.Itoa(offset)}}
	response, err := c.send(ctx, c.pooled, http.MethodGet, "http://"+address+PathStreams+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, attemptID, offset), nil
}

// Cancel stops an attempt.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	return c.call(ctx, http.MethodPost, address, PathCancel, &CancelRequest{AttemptID: attemptID}, nil)
}

// Load reads an engine's report of itself.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	load := &Load{}
	return load, c.call(ctx, http.MethodGet, address, PathLoad, nil, load)
}

// Order sends a fenced order.
func (c *Client) Order(ctx context.Context, address string, order *Order) error {
	return c.call(ctx, http.MethodPost, address, PathOrders, order, nil)
}

// CacheEvents reads the cache events after the sequence number given.
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
	return json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply)
}

// send makes one call and returns the answer if its status is 200.
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
	// Without GetBody net/http never sends a body a second time by itself.
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
	return nil, readRefusal(response)
}

func readRefusal(response *http.Response) error {
	var told ErrorBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&told); err != nil || told.Code == "" {
		return failure.New(failure.OutcomeUnknown, "check that the address is an engine's", "the engine answered with status %d", response.StatusCode)
	}
	return &RejectedError{Code: told.Code, Message: told.Message, Epoch: told.Epoch}
}
