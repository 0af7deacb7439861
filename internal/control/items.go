package control

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxLeasedItems bounds the items given in one answer, and so its size.
const maxLeasedItems = 256

func (c *Control) leaseItems(_ context.Context, request *wire.LeaseItemsRequest) (msgp.Marshaler, error) {
	if request.Group < 1 || request.Group > len(c.groups) {
		return nil, failure.New(failure.BadRequest, "ask for a group from 1 to the number of job groups", "there is no job group %d", request.Group)
	}
	group := c.groups[request.Group-1]
	now := time.Now()
	response := &wire.LeaseItemsResponse{LeaseMillis: c.settings.ItemLease.Std().Milliseconds()}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	err := c.host.Read(group.number, func(reader storage.Reader) error {
		group.leases.Expire(now)
		response.Stop = group.leases.Renew(now, request.Dispatcher, request.Incarnation, request.Held)
		granted := group.leases.Grant(now, request.Dispatcher, request.Incarnation, min(request.Want, maxLeasedItems), request.Models)
		for _, ref := range granted {
			item, err := readItem(group.machine, reader, ref)
			if err != nil {
				return err
			}
			response.Items = append(response.Items, item)
		}
		return nil
	})
	c.metrics.items.WithLabelValues("leased").Add(float64(len(response.Items)))
	return response, err
}

func readItem(machine *jobstate.Machine, reader storage.Reader, ref wire.ItemRef) (wire.LeasedItem, error) {
	record, err := machine.Job("", ref.JobID)
	if err != nil {
		return wire.LeasedItem{}, err
	}
	line, err := jobstate.ReadLine(reader, record.FileID, ref.Item)
	return wire.LeasedItem{
		Ref:            ref,
		Tenant:         record.Tenant,
		Rank:           record.Rank,
		DeadlineMillis: record.DeadlineMillis,
		Model:          record.Model,
		Adapter:        record.Adapter,
		Line:           line,
	}, err
}

// completeItems commits a group of results, which all belong to one job group.
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
	group := c.groups[number-1]
	group.mutex.Lock()
	group.leases.Settle(request.Results)
	group.mutex.Unlock()
	c.metrics.items.WithLabelValues("completed").Add(float64(result.Complete.Accepted))
	c.metrics.items.WithLabelValues("duplicate").Add(float64(result.Complete.Duplicates))
	c.metrics.items.WithLabelValues("refused").Add(float64(result.Complete.Refused))
	return result.Complete, nil
}

// expireJobs ends the jobs whose deadline has passed.
func (c *Control) expireJobs(ctx context.Context) {
	now := time.Now().UnixMilli()
	for _, group := range c.groups {
		due := false
		// Read fails for unknown groups only.
		_ = c.host.Read(group.number, func(storage.Reader) error {
			due = group.machine.ExpiryDue(now)
			return nil
		})
		if !due {
			continue
		}
		if _, err := c.proposeJob(ctx, group.number, &wire.JobCommand{Expire: true}); err != nil {
			logging.Warn(c.logger, "expiry_failed", "group", group.number, "error", err)
		}
	}
}
