package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/settings"
)

// loadCommand sends load to a running fleet.
type loadCommand struct {
	Gateways    []string          `arg:"--gateway" placeholder:"IP:PORT" help:"addresses of the gateways [default: 127.0.0.1:7400]"`
	Key         string            `arg:"--key,env:SEDGEMAST_TENANT_KEY" help:"tenant's key"`
	Model       string            `arg:"--model" default:"heron-8b"`
	Requests    int               `arg:"--requests" default:"200" help:"online requests"`
	Rate        float64           `arg:"--rate" default:"50" help:"online requests a second"`
	Items       int               `arg:"--items" default:"0" help:"items of a batch job sent beside them"`
	MaxTokens   int               `arg:"--max-tokens" default:"64" help:"tokens of an answer at most"`
	Words       int               `arg:"--words" default:"64" help:"words of the shared part of each prompt"`
	Seed        uint64            `arg:"--seed" default:"1"`
	StreamShare float64           `arg:"--stream-share" default:"0.5" help:"share of requests that are streamed, 0 to 1"`
	Timeout     settings.Duration `arg:"--timeout" default:"5m" help:"time allowed for everything"`
	AllowErrors bool              `arg:"--allow-errors" help:"count typed failures instead of failing; wrong answers still fail"`
}

func runLoad(flags *loadCommand) error {
	if flags.Key == "" {
		return failure.New(failure.BadRequest, "set SEDGEMAST_TENANT_KEY", "there is no tenant's key")
	}
	if len(flags.Gateways) == 0 {
		flags.Gateways = []string{"127.0.0.1:7400"}
	}
	ctx, cancel := command.Context()
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, flags.Timeout.Std())
	defer cancelTimeout()
	var clients []*loadgen.Client
	for _, address := range flags.Gateways {
		clients = append(clients, loadgen.NewClient(address, flags.Key))
	}
	jobResult := make(chan error, 1)
	go func() { jobResult <- runLoadJob(ctx, clients, flags) }()
	if err := runLoadOnline(ctx, clients, flags); err != nil {
		return err
	}
	return <-jobResult
}

func runLoadOnline(ctx context.Context, clients []*loadgen.Client, flags *loadCommand) error {
	if flags.Requests == 0 {
		return nil
	}
	online := &loadgen.OnlineLoad{
		Model:       flags.Model,
		Requests:    flags.Requests,
		Rate:        flags.Rate,
		MaxTokens:   flags.MaxTokens,
		Words:       flags.Words,
		Seed:        flags.Seed,
		StreamShare: flags.StreamShare,
	}
	summary := online.Run(ctx, clients)
	fmt.Printf("online: %s\n", summary)
	if summary.Incorrect > 0 || (summary.Failed() > 0 && !flags.AllowErrors) {
		return errors.Wrapf(summary.FirstError, "%d requests got no complete and correct answer; the first error", summary.Failed())
	}
	return nil
}

func runLoadJob(ctx context.Context, clients []*loadgen.Client, flags *loadCommand) error {
	if flags.Items == 0 {
		return nil
	}
	name := fmt.Sprintf("load-%d", flags.Seed)
	job := &loadgen.BatchJob{Model: flags.Model, Items: flags.Items, MaxTokens: flags.MaxTokens, Words: flags.Words, Name: name, Key: name}
	started := time.Now()
	batch, err := job.Submit(ctx, clients[0])
	if err != nil {
		return err
	}
	fmt.Printf("batch: %s accepted with %d items after %s\n", batch.ID, batch.RequestCounts.Total, time.Since(started).Round(time.Millisecond))
	batch, err = loadgen.WaitBatch(ctx, clients[len(clients)-1], batch.ID)
	if err != nil {
		return err
	}
	if err := job.Check(ctx, clients[0], batch); err != nil {
		return err
	}
	fmt.Printf("batch: %d items completed, each exactly once and with the correct answer, after %s\n", batch.RequestCounts.Completed, time.Since(started).Round(time.Millisecond))
	return nil
}

// jobFileCommand writes the input file of a batch job, for use with other clients.
type jobFileCommand struct {
	Output    string `arg:"positional,required" help:"file to write"`
	Items     int    `arg:"--items" default:"1000"`
	Model     string `arg:"--model" default:"heron-8b"`
	MaxTokens int    `arg:"--max-tokens" default:"64"`
	Words     int    `arg:"--words" default:"64"`
}

func runJobFile(flags *jobFileCommand) error {
	file, err := os.Create(flags.Output)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "name a file that can be written", "the file can't be made")
	}
	job := &loadgen.BatchJob{Model: flags.Model, Items: flags.Items, MaxTokens: flags.MaxTokens, Words: flags.Words, Name: "file"}
	return errors.CombineErrors(job.Write(file), file.Close())
}
