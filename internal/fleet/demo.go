package fleet

import (
	"encoding/json"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/operator"
)

const (
	demoTemplate    = "demo"
	demoRate        = 2000
	demoConcurrency = 2000
)

// DemoDocuments returns the documents of a template and of a tenant that may use the models with
// the given key.
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
	tenantSpec := metastate.Tenant{
		Template: demoTemplate,
		Keys:     []metastate.Key{{ID: "first", SHA256: configuration.Digest(key)}},
	}
	return []operator.Document{
		{Kind: metastate.KindTemplate, Name: demoTemplate, Spec: mustJSON(template)},
		{Kind: metastate.KindTenant, Name: tenant, Spec: mustJSON(tenantSpec)},
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
