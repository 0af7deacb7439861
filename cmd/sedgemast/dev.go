package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/keys"
	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/operator"
)

// devCommand runs the embedded fleet.
type devCommand struct {
	Stay     bool   `arg:"--stay" help:"go on serving after the demonstration, until interrupted"`
	Requests int    `arg:"--requests" default:"100" help:"online requests to send"`
	Items    int    `arg:"--items" default:"200" help:"items of the batch job"`
	LogLevel string `arg:"--log-level" default:"warn" help:"debug, info, warn or error"`
}

const (
	devModel   = "heron-8b"
	devTenant  = "demo-school"
	devTimeout = 60 * time.Second
	devRate    = 50.0
)

func runDev(flags *devCommand) error {
	ctx, cancel := command.Context()
	defer cancel()
	folder, err := os.MkdirTemp("", "sedgemast-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	operatorKey, err := keys.New("operator", "dev")
	if err != nil {
		return err
	}
	started, err := fleet.Start(ctx, fleet.Options{
		Gateways:          2,
		Dispatchers:       2,
		Engines:           4,
		Models:            []string{devModel},
		Folder:            folder,
		Logger:            logging.New(os.Stderr, flags.LogLevel),
		Capacity:          emulator.DefaultCapacity(),
		OperatorKeySHA256: configuration.Digest(operatorKey),
	})
	if err != nil {
		return err
	}
	defer started.Stop()
	fmt.Printf("fleet: 1 control process, %d dispatchers, %d gateways, %d emulated engines\n", len(started.Dispatchers), len(started.Gateways), len(started.Engines))
	tenantKey, err := configureDev(ctx, started.Gateways[0].Address(), operatorKey)
	if err != nil {
		return err
	}
	if err := demonstrate(ctx, started, tenantKey, flags); err != nil {
		return err
	}
	if flags.Stay {
		fmt.Printf("gateway: http://%s\ntenant key: %s\noperator key: %s\n", started.Gateways[0].Address(), tenantKey, operatorKey)
		<-ctx.Done()
	}
	return nil
}

// configureDev applies a template and a tenant, waits until they are in force, and returns the
// tenant's key.
func configureDev(ctx context.Context, gateway, operatorKey string) (string, error) {
	tenantKey, err := keys.New("tenant", devTenant)
	if err != nil {
		return "", err
	}
	revision := uint64(0)
	change := &operator.Change{
		ChangeID:         "dev-first",
		ExpectedRevision: &revision,
		Documents:        fleet.DemoDocuments(devTenant, []string{devModel}, tenantKey),
	}
	client := operator.NewClient(gateway, operatorKey)
	applied, err := client.Apply(ctx, change)
	if err != nil {
		return "", errors.Wrap(err, "apply")
	}
	if err := operator.WaitInForce(ctx, client, applied.Revision); err != nil {
		return "", err
	}
	fmt.Printf("configuration: revision %d in force at every daemon\n", applied.Revision)
	return tenantKey, nil
}

// demonstrate runs a batch job and online requests at the same time and checks every answer.
func demonstrate(ctx context.Context, started *fleet.Fleet, tenantKey string, flags *devCommand) error {
	ctx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	var clients []*loadgen.Client
	for _, gateway := range started.Gateways {
		client := loadgen.NewClient(gateway.Address(), tenantKey)
		if err := loadgen.WaitServing(ctx, client, devModel); err != nil {
			return errors.Wrap(err, "the fleet does not answer requests")
		}
		clients = append(clients, client)
	}
	job := &loadgen.BatchJob{Model: devModel, Items: flags.Items, MaxTokens: 64, Words: 64, Name: "demo"}
	start := time.Now()
	batch, err := job.Submit(ctx, clients[0])
	if err != nil {
		return err
	}
	fmt.Printf("batch job: %s accepted with %d items\n", batch.ID, batch.RequestCounts.Total)
	online := &loadgen.OnlineLoad{Model: devModel, Requests: flags.Requests, Rate: devRate, MaxTokens: 64, Words: 64, Seed: 1, StreamShare: 0.5}
	summary := online.Run(ctx, clients)
	fmt.Printf("online: %s\n", summary)
	if summary.Failed() > 0 {
		return errors.Wrapf(summary.FirstError, "%d online requests got no complete and correct answer; the first error", summary.Failed())
	}
	batch, err = loadgen.WaitBatch(ctx, clients[len(clients)-1], batch.ID)
	if err != nil {
		return errors.Wrap(err, "the batch job did not finish")
	}
	if err := job.Check(ctx, clients[0], batch); err != nil {
		return err
	}
	fmt.Printf("batch job: %d items completed, each exactly once and with the correct answer, after %s\n", batch.RequestCounts.Completed, time.Since(start).Round(time.Millisecond))
	return nil
}
