package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const inForcePoll = 20 * time.Millisecond

// WaitInForce waits until every daemon acts on the revision or a later one.
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
		case <-time.After(inForcePoll):
		}
	}
}
