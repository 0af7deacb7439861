package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/keys"
	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/operator"
)

const (
	// settleTime is the time between the growth of the fleet and the first reading.
	settleTime     = 4 * time.Second
	changesPerStep = 10
	changeInterval = 300 * time.Millisecond
	pollInterval   = 2 * time.Millisecond
	stepTimeout    = 2 * time.Minute
	// itemHeadroom is the number of items submitted for a step, divided by the number of items that
	// the step should complete.
	itemHeadroom        = 1.6
	uploaders           = 4
	submitRetryInterval = 100 * time.Millisecond
)

// Step is one fleet size at which the run measures.
type Step struct {
	Daemons  int
	Tenants  int
	ItemRate int
}

// Run is a measurement of growing fleets of hollow daemons against real control processes and
// gateways.
type Run struct {
	Control     []string
	Gateway     string
	OperatorKey string
	Model       string
	Processes   []Process
	Steps       []Step
	Window      time.Duration
	Out         io.Writer

	daemons    *Daemons
	baseMemory float64
	tenants    []tenant
	operator   *operator.Client
}

// tenant is a tenant of the run with its API key.
type tenant struct {
	name string
	key  string
}

// Measure grows the fleet step by step and returns the measurements of each step. If a step fails,
// it returns the measurements of the steps before, with the error.
func (r *Run) Measure(ctx context.Context) ([]*Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.operator = operator.NewClient(r.Gateway, r.OperatorKey)
	r.daemons = NewDaemons(r.Control, r.Model)
	base, err := ownUsage()
	if err != nil {
		return nil, err
	}
	r.baseMemory = base.residentBytes
	var points []*Point
	for _, step := range r.Steps {
		stepContext, stop := context.WithTimeout(ctx, stepTimeout)
		point, err := r.step(ctx, stepContext, step)
		stop()
		if err != nil {
			return points, errors.Wrapf(err, "at %d daemons", step.Daemons)
		}
		points = append(points, point)
		fmt.Fprintf(r.Out, "daemons=%d serving=%d workers=%d tenants=%d items/s=%.0f beats/s=%.0f missed=%.4f in_force_ms max=%.0f daemon: cpu=%.4f bytes/s=%.0f memory=%.0f leader_cpu=%.3f\n",
			point.Daemons, point.Serving, point.Workers, point.Tenants, point.ItemRate, point.BeatsPerSecond, point.MissedShare, maxOf(point.InForceMillis), point.DaemonCPU, point.DaemonBytes, point.DaemonMemory, point.LeaderCPU)
	}
	cancel()
	r.daemons.Wait()
	return points, nil
}

func (r *Run) step(ctx, stepContext context.Context, step Step) (*Point, error) {
	if err := r.growTenants(stepContext, step.Tenants); err != nil {
		return nil, err
	}
	r.daemons.Grow(ctx, step.Daemons)
	if err := r.waitServing(stepContext); err != nil {
		return nil, err
	}
	if err := r.submitJobs(stepContext, step); err != nil {
		return nil, err
	}
	r.daemons.itemRate.Store(int64(step.ItemRate))
	time.Sleep(settleTime)
	first, err := r.takeReading(stepContext)
	if err != nil {
		return nil, err
	}
	inForce, err := r.measureChanges(stepContext)
	if err != nil {
		return nil, err
	}
	if remaining := r.Window - time.Since(first.takenAt); remaining > 0 {
		time.Sleep(remaining)
	}
	second, err := r.takeReading(stepContext)
	if err != nil {
		return nil, err
	}
	point := r.point(first, second)
	point.InForceMillis = inForce
	point.Tenants = step.Tenants
	r.daemons.itemRate.Store(0)
	status, err := r.operator.Status(stepContext)
	if err != nil {
		return nil, err
	}
	point.Workers = len(status.Workers)
	return point, nil
}

func (r *Run) waitServing(ctx context.Context) error {
	for r.daemons.serving(clock.Now()) < len(r.daemons.all) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d daemons hold their leases", r.daemons.serving(clock.Now()), len(r.daemons.all))
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// apply applies one change of the configuration and returns its revision.
func (r *Run) apply(ctx context.Context, id string, documents []operator.Document) (uint64, error) {
	current, err := r.operator.Documents(ctx, "none", "")
	if err != nil {
		return 0, err
	}
	applied, err := operator.ApplyWithRetry(ctx, r.operator, &operator.Change{ChangeID: id, ExpectedRevision: &current.Revision, Documents: documents})
	if err != nil {
		return 0, err
	}
	return applied.Revision, nil
}

func (r *Run) growTenants(ctx context.Context, count int) error {
	var documents []operator.Document
	for number := len(r.tenants); number < count; number++ {
		added := tenant{name: fmt.Sprintf("tenant-%d", number)}
		var err error
		if added.key, err = keys.New("tenant", added.name); err != nil {
			return err
		}
		for _, document := range fleet.DemoDocuments(added.name, []string{r.Model}, added.key) {
			if document.Kind == metastate.KindTenant || number == 0 {
				documents = append(documents, document)
			}
		}
		r.tenants = append(r.tenants, added)
	}
	if len(documents) == 0 {
		return nil
	}
	_, err := r.apply(ctx, fmt.Sprintf("tenants-%d", count), documents)
	return err
}

// submitJobs submits the batch items for a step, spread over tenants and thus over job groups.
func (r *Run) submitJobs(ctx context.Context, step Step) error {
	total := int(float64(step.ItemRate) * (r.Window + settleTime).Seconds() * itemHeadroom)
	if total == 0 {
		return nil
	}
	errs := make(chan error, uploaders)
	for uploader := 0; uploader < uploaders; uploader++ {
		go func() {
			owner := r.tenants[(uploader*7+step.Daemons)%len(r.tenants)]
			client := loadgen.NewClient(r.Gateway, owner.key)
			job := &loadgen.BatchJob{Model: r.Model, Items: total / uploaders, MaxTokens: 64, Words: 16, Name: fmt.Sprintf("scale-%d-%d", step.Daemons, uploader)}
			errs <- submit(ctx, client, job)
		}()
	}
	var failed error
	for uploader := 0; uploader < uploaders; uploader++ {
		failed = errors.CombineErrors(failed, <-errs)
	}
	return failed
}

// submit submits a job. It retries all errors, because the gateway may not know a new tenant yet.
func submit(ctx context.Context, client *loadgen.Client, job *loadgen.BatchJob) error {
	for {
		_, err := job.Submit(ctx, client)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(submitRetryInterval):
		}
	}
}

// measureChanges applies changes and returns for each the time in milliseconds until it is in force
// at the last hollow daemon.
func (r *Run) measureChanges(ctx context.Context) ([]float64, error) {
	var millis []float64
	for number := 0; number < changesPerStep; number++ {
		spec, err := json.Marshal(metastate.Drain{Reason: fmt.Sprint(number)})
		if err != nil {
			return nil, err
		}
		document := operator.Document{Kind: metastate.KindDrain, Name: "nobody", Spec: spec}
		revision, err := r.apply(ctx, fmt.Sprintf("scale-%d-%d", len(r.daemons.all), number), []operator.Document{document})
		if err != nil {
			return nil, err
		}
		applied := time.Now()
		for r.daemons.lowestRevision() < revision {
			select {
			case <-ctx.Done():
				return nil, errors.Wrapf(ctx.Err(), "revision %d is not in force everywhere", revision)
			case <-time.After(pollInterval):
			}
		}
		millis = append(millis, float64(time.Since(applied).Microseconds())/1000)
		time.Sleep(changeInterval)
	}
	return millis, nil
}

func maxOf(values []float64) float64 {
	top := 0.0
	for _, value := range values {
		top = max(top, value)
	}
	return top
}
