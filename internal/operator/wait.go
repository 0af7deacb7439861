package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const pollInterval = 20 * time.Millisecond

// WaitInForce polls a gateway until all daemons use the revision or a later one. It returns an
// error when ctx is done or a poll fails.
func WaitInForce(ctx context.Context, client *Client, revision uint64) error {
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		if status.ConfigRevision >= revision && status.InForce == len(status.Daemons) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "revision %d is in force at %d of %d daemons", revision, status.InForce, len(status.Daemons))
		case <-time.After(pollInterval):
		}
	}
}
