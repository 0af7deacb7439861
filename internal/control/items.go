package control

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func (c *Control) leaseItems(_ context.Context, request *wire.LeaseItemsRequest) (msgp.Marshaler, error) {
	if request.Group < 1 || request.Group > len(c.groups) {
		return nil, failure.New(failure.BadRequest, "ask for a group from 1 to the number of job groups", "there is no job group %d", request.Group)
	}
	var response *wire.LeaseItemsResponse
	err := c.readJobs(c.groups[request.Group-1], func(now time.Time, leader *coordination.JobLeader, reader storage.Reader) (err error) {
		response, err = leader.LeaseItems(now, request, reader)
		return err
	})
	if err != nil {
		return nil, err
	}
	c.metrics.items.WithLabelValues("leased").Add(float64(len(response.Items)))
	return response, nil
}

// completeItems commits a batch of results, which all belong to one job group.
func (c *Control) completeItems(ctx context.Context, request *wire.CompleteItemsRequest) (msgp.Marshaler, error) {
	if len(request.Results) == 0 {
		return &wire.CompleteItemsResponse{}, nil
	}
	number, err := jobstate.GroupOf(request.Results[0].JobID)
	if err != nil {
		return nil, err
	}
	result, err := c.proposeJob(ctx, number, &wire.JobCommand{Complete: request})
	if err != nil {
		return nil, err
	}
	// An error means that another process leads now; the leases of this process are void.
	_ = c.readJobs(c.groups[number-1], func(_ time.Time, leader *coordination.JobLeader, _ storage.Reader) error {
		leader.Release(request.Results)
		return nil
	})
	c.metrics.items.WithLabelValues("completed").Add(float64(result.Complete.Accepted))
	c.metrics.items.WithLabelValues("duplicate").Add(float64(result.Complete.Duplicates))
	c.metrics.items.WithLabelValues("refused").Add(float64(result.Complete.Refused))
	return result.Complete, nil
}

// expireJobs ends the jobs whose deadline has passed.
func (c *Control) expireJobs(ctx context.Context) {
	for _, group := range c.groups {
		expiryDue := false
		err := c.readJobs(group, func(now time.Time, _ *coordination.JobLeader, _ storage.Reader) error {
			expiryDue = group.machine.ExpiryDue(now.UnixMilli())
			return nil
		})
		if err != nil || !expiryDue {
			continue
		}
		if _, err := c.proposeJob(ctx, group.number, &wire.JobCommand{Expire: true}); err != nil {
			logging.Warn(c.logger, "expiry_failed", "group", group.number, "error", err)
		}
	}
}
