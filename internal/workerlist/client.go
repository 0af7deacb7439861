// Package workerlist is the client of the platform's list of workers. The list lags behind the
// actual state and may contradict what the workers report themselves.
package workerlist

import (
	"context"
	"net/http"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpanswer"
)

// PathWorkers is the HTTP path of the list.
const PathWorkers = "/v1/workers"

const (
	readTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// Worker is an entry of the list.
type Worker struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation increases whenever the machine under this id is replaced.
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// Pool and Slots are set for workers of opaque requests: the pool that a worker belongs to,
	// and how many requests it runs at a time.
	Pool  string `json:"pool,omitempty"`
	Slots int    `json:"slots,omitempty"`
	// Version is the version of the worker's software.
	Version string `json:"version,omitempty"`
}

// List is the platform's answer.
type List struct {
	Workers []Worker `json:"workers"`
}

// Client reads the list from the platform.
type Client struct {
	address string
	client  *http.Client
}

// NewClient returns a client of the platform at address (IP:port).
func NewClient(address string) *Client {
	return &Client{address: address, client: &http.Client{Transport: httpanswer.NewTransport(), Timeout: readTimeout}}
}

// Workers returns the workers of the list.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+PathWorkers, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "check the platform's address", "no request can be made")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "check that the platform runs", "the platform's list can't be read")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failure.Internal, "check the platform's address", "the platform answered with status %d", response.StatusCode)
	}
	var list List
	if err := httpanswer.DecodeJSON(response.Body, maxListBytes, &list); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "check the platform's address", "the platform's list does not parse")
	}
	return list.Workers, nil
}
