package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/operator"
)

const (
	demoTemplate    = "demo"
	inForcePoll     = 20 * time.Millisecond
	demoRate        = 2000
	demoConcurrency = 2000
)

// DemoDocuments returns a template and a tenant that may use the models with
// the key given.
func DemoDocuments(tenant string, models []string, key string) []operator.Document {
	template := metastate.Template{
		Description: "a school or field station",
		Parameters: map[string]metastate.Parameter{
			"models":              {Default: mustJSON(models), Allowed: models},
			"online_rank":         {Default: mustJSON(5), Minimum: mustJSON(1), Maximum: mustJSON(10)},
			"online_deadline":     {Default: mustJSON("30s")},
			"requests_per_second": {Default: mustJSON(demoRate), Fixed: true},
			"concurrency":         {Default: mustJSON(demoConcurrency), Fixed: true},
		},
	}
	made := metastate.Tenant{
		Template: demoTemplate,
		Keys:     []metastate.Key{{ID: "first", SHA256: configuration.Digest(key)}},
	}
	return []operator.Document{
		{Kind: metastate.KindTemplate, Name: demoTemplate, Spec: mustJSON(template)},
		{Kind: metastate.KindTenant, Name: tenant, Spec: mustJSON(made)},
	}
}

// mustJSON encodes a value whose type always encodes.
func mustJSON(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// WaitInForce waits until every daemon acts on the revision or a later one.
func WaitInForce(ctx context.Context, client *operator.Client, revision uint64) error {
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
