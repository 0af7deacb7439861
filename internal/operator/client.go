package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpanswer"
)

const (
	callTimeout   = 30 * time.Second
	maxReplyBytes = 64 << 20
)

// Client calls the operators' API of a gateway.
type Client struct {
	address string
	key     string
	client  *http.Client
}

// NewClient returns a client of the gateway at address (IP:port) that authenticates with an
// operator's key.
func NewClient(address, key string) *Client {
	transport := httpanswer.NewTransport()
	transport.MarkedEnds = true
	return &Client{address: address, key: key, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Apply sends a change. It is idempotent: the same change may be sent again with the same id.
func (c *Client) Apply(ctx context.Context, change *Change) (*Applied, error) {
	applied := &Applied{}
	return applied, c.call(ctx, http.MethodPost, PathChanges, nil, change, applied)
}

// Documents returns the documents of the kind and name; an empty kind or name matches all.
func (c *Client) Documents(ctx context.Context, kind, name string) (*Documents, error) {
	list := &Documents{}
	return list, c.call(ctx, http.MethodGet, PathDocuments, url.Values{"kind": {kind}, "name": {name}}, nil, list)
}

// History returns at most limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (*Changes, error) {
	changes := &Changes{}
	return changes, c.call(ctx, http.MethodGet, PathChanges, url.Values{"limit": {strconv.Itoa(limit)}}, nil, changes)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := &Status{}
	return status, c.call(ctx, http.MethodGet, PathStatus, nil, nil, status)
}

// Jobs returns at most limit jobs of a tenant, newest first; an empty tenant means all tenants.
func (c *Client) Jobs(ctx context.Context, tenant string, limit int) (*Jobs, error) {
	jobs := &Jobs{}
	return jobs, c.call(ctx, http.MethodGet, PathJobs, url.Values{"tenant": {tenant}, "limit": {strconv.Itoa(limit)}}, nil, jobs)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body, reply any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(encoded)
	}
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "give the gateway as IP:port", "%q is not a gateway's address", c.address)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.OutcomeUnknown, "send it again with the same change id, or ask another gateway", "the gateway does not answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var failed failure.Body
		if err := httpanswer.DecodeJSON(response.Body, maxReplyBytes, &failed); err != nil {
			return failure.New(failure.Internal, "check the address", "the gateway answered with status %d", response.StatusCode)
		}
		return failed.Error.Failure()
	}
	return httpanswer.DecodeJSON(response.Body, maxReplyBytes, reply)
}

const (
	maxApplyAttempts   = 10
	applyRetryInterval = 200 * time.Millisecond
)

// ApplyWithRetry sends a change, and sends it again with the same id while the response is lost or
// control can't execute it, up to maxApplyAttempts times.
func ApplyWithRetry(ctx context.Context, client *Client, change *Change) (*Applied, error) {
	for attempt := 1; ; attempt++ {
		applied, err := client.Apply(ctx, change)
		retryable := failure.Is(err, failure.OutcomeUnknown) || failure.Is(err, failure.NotRun)
		if !retryable || attempt == maxApplyAttempts {
			return applied, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(applyRetryInterval):
		}
	}
}
