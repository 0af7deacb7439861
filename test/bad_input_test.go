package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/operator"
	"github.com/sedgemast/sedgemast/internal/settings"
)

// startEmbedded starts a fleet with one engine in this process and configures it. It returns the
// fleet, the operator's key and the tenant's key.
func startEmbedded(t testing.TB, ctx context.Context) (*fleet.Fleet, string, string) {
	t.Helper()
	return startEmbeddedWith(t, ctx, fleet.Options{Engines: 1})
}

// startEmbeddedWith is startEmbedded with the given options, except that it sets the numbers of
// gateways and dispatchers, the models, the folder, the capacity and the operator's key itself.
func startEmbeddedWith(t testing.TB, ctx context.Context, options fleet.Options) (*fleet.Fleet, string, string) {
	t.Helper()
	operatorKey, tenantKey := "operator-secret", "tenant-secret"
	options.Gateways, options.Dispatchers = 1, max(options.Dispatchers, 1)
	options.Models, options.Folder = []string{testModel}, t.TempDir()
	options.Capacity, options.OperatorKeySHA256 = emulator.DefaultCapacity(), configuration.Digest(operatorKey)
	started, err := fleet.Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	client := operator.NewClient(started.Gateways[0].Address(), operatorKey)
	revision := uint64(0)
	applied, err := client.Apply(ctx, &operator.Change{
		ChangeID:         "first",
		ExpectedRevision: &revision,
		Documents:        fleet.DemoDocuments(testTenant, []string{testModel}, tenantKey),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := operator.WaitInForce(ctx, client, applied.Revision); err != nil {
		t.Fatal(err)
	}
	if err := loadgen.WaitServing(ctx, loadgen.NewClient(started.Gateways[0].Address(), tenantKey), testModel); err != nil {
		t.Fatal(err)
	}
	return started, operatorKey, tenantKey
}

// badRequest is an invalid HTTP request and the kind of error that it must get.
type badRequest struct {
	name   string
	method string
	path   string
	key    string
	header map[string]string
	body   string
	want   failure.Kind
	// field must occur in the answer's message or parameter.
	field string
}

func badRequests(operatorKey, tenantKey string) []badRequest {
	chat := "/v1/chat/completions"
	good := `{"model":"heron-8b","messages":[{"role":"user","content":"x"}]}`
	tenant := func(name, body, field string) badRequest {
		return badRequest{name, "POST", chat, tenantKey, nil, body, failure.BadRequest, field}
	}
	change := func(name, body string, want failure.Kind, field string) badRequest {
		return badRequest{name, "POST", operator.PathChanges, operatorKey, nil, body, want, field}
	}
	document := func(name, document, field string) badRequest {
		return change(name, `{"change_id":"`+name+`","expected_revision":1,"documents":[`+document+`]}`, failure.BadRequest, field)
	}
	return []badRequest{
		{"no key", "POST", chat, "", nil, good, failure.Unauthenticated, "key"},
		{"unknown key", "POST", chat, "nonsense", nil, good, failure.Unauthenticated, "key"},
		{"operator's key for a request", "POST", chat, operatorKey, nil, good, failure.Unauthenticated, "key"},
		tenant("empty body", ``, "body"),
		tenant("not JSON", `{"model":`, "body"),
		tenant("two objects", good+good, "body"),
		tenant("no model", `{"messages":[{"role":"user","content":"x"}]}`, "model"),
		tenant("foreign model", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, "model"),
		tenant("foreign adapter", `{"model":"heron-8b:nope","messages":[{"role":"user","content":"x"}]}`, "model"),
		tenant("no messages", `{"model":"heron-8b","messages":[]}`, "messages"),
		tenant("bad role", `{"model":"heron-8b","messages":[{"role":"boss","content":"x"}]}`, "messages.0.role"),
		tenant("picture", `{"model":"heron-8b","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "text"),
		tenant("no tokens", `{"model":"heron-8b","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, "max_tokens"),
		tenant("too many tokens", `{"model":"heron-8b","max_tokens":99999999,"messages":[{"role":"user","content":"x"}]}`, "max_tokens"),
		{"bad deadline", "POST", chat, tenantKey, map[string]string{"Sedgemast-Deadline-Ms": "soon"}, good, failure.BadRequest, "Sedgemast-Deadline-Ms"},
		{"wrong method", "GET", chat, tenantKey, nil, "", failure.NotFound, "method"},
		{"wrong path", "GET", "/v2/nothing", tenantKey, nil, "", failure.NotFound, "/v2/nothing"},
		{"upload without form", "POST", "/v1/files", tenantKey, nil, "x", failure.BadRequest, "body"},
		{"unknown file", "GET", "/v1/files/file-g1-999", tenantKey, nil, "", failure.NotFound, "file-g1-999"},
		{"malformed file id", "GET", "/v1/files/nothing", tenantKey, nil, "", failure.NotFound, "nothing"},
		{"file of no group", "GET", "/v1/files/file-g999-1", tenantKey, nil, "", failure.NotFound, "file-g999-1"},
		{"unknown batch", "GET", "/v1/batches/batch-g1-999", tenantKey, nil, "", failure.NotFound, "batch-g1-999"},
		{"cancel of unknown batch", "POST", "/v1/batches/batch-g1-999/cancel", tenantKey, nil, "", failure.NotFound, "batch-g1-999"},
		{"batch without file", "POST", "/v1/batches", tenantKey, nil, `{"endpoint":"/v1/chat/completions"}`, failure.BadRequest, "input_file_id"},
		{"batch of unknown file", "POST", "/v1/batches", tenantKey, nil, `{"input_file_id":"file-g1-999","endpoint":"/v1/chat/completions"}`, failure.NotFound, "file-g1-999"},
		{"batch for another endpoint", "POST", "/v1/batches", tenantKey, nil, `{"input_file_id":"file-g1-1","endpoint":"/v1/embeddings"}`, failure.BadRequest, "endpoint"},
		{"bad window", "POST", "/v1/batches", tenantKey, nil, `{"input_file_id":"file-g1-1","endpoint":"/v1/chat/completions","completion_window":"later"}`, failure.BadRequest, "completion_window"},
		{"bad limit", "GET", "/v1/batches?limit=many", tenantKey, nil, "", failure.BadRequest, "limit"},
		{"tenant's key for operators", "GET", operator.PathStatus, tenantKey, nil, "", failure.Forbidden, "operator"},
		{"no key for operators", "GET", operator.PathStatus, "", nil, "", failure.Unauthenticated, "key"},
		change("no revision", `{"change_id":"a","documents":[]}`, failure.BadRequest, "expected_revision"),
		change("no change id", `{"expected_revision":1,"documents":[{"kind":"drain","name":"x","spec":{}}]}`, failure.BadRequest, "change_id"),
		change("no documents", `{"change_id":"a","expected_revision":1,"documents":[]}`, failure.BadRequest, "documents"),
		change("stale revision", `{"change_id":"a","expected_revision":0,"documents":[{"kind":"drain","name":"x","spec":{}}]}`, failure.Conflict, "revision"),
		change("used change id", `{"change_id":"first","expected_revision":1,"documents":[{"kind":"drain","name":"x","spec":{}}]}`, failure.Conflict, "first"),
		change("delete of nothing", `{"change_id":"a","expected_revision":1,"documents":[{"kind":"tenant","name":"x","delete":true}]}`, failure.NotFound, "tenant/x"),
		document("unknown kind", `{"kind":"wish","name":"x","spec":{}}`, "wish"),
		document("bad name", `{"kind":"drain","name":"Not A Name","spec":{}}`, "Not A Name"),
		document("unknown field", `{"kind":"drain","name":"x","spec":{"when":"now"}}`, "when"),
		document("unknown parameter", `{"kind":"template","name":"x","spec":{"parameters":{"colour":{}}}}`, "colour"),
		document("default out of range", `{"kind":"template","name":"x","spec":{"parameters":{"online_rank":{"default":11}}}}`, "online_rank"),
		document("default of a wrong type", `{"kind":"template","name":"x","spec":{"parameters":{"online_rank":{"default":"high"}}}}`, "online_rank"),
		document("bad duration", `{"kind":"template","name":"x","spec":{"parameters":{"batch_window":{"default":"24 hours"}}}}`, "batch_window"),
		document("fixed without value", `{"kind":"template","name":"x","spec":{"parameters":{"online_rank":{"fixed":true}}}}`, "online_rank"),
		document("tenant without template", `{"kind":"tenant","name":"x","spec":{"keys":[]}}`, "template"),
		document("tenant of unknown template", `{"kind":"tenant","name":"x","spec":{"template":"none","keys":[]}}`, "none"),
		document("value out of range", `{"kind":"tenant","name":"x","spec":{"template":"demo","values":{"online_rank":99},"keys":[]}}`, "online_rank"),
		document("value of a fixed parameter", `{"kind":"tenant","name":"x","spec":{"template":"demo","values":{"concurrency":1},"keys":[]}}`, "concurrency"),
		document("model that is not allowed", `{"kind":"tenant","name":"x","spec":{"template":"demo","values":{"models":["other"]},"keys":[]}}`, "models"),
		document("key that is no digest", `{"kind":"tenant","name":"x","spec":{"template":"demo","keys":[{"id":"a","sha256":"zz"}]}}`, "sha256"),
		document("template in use deleted", `{"kind":"template","name":"demo","delete":true}`, "demo"),
		document("same document twice", `{"kind":"drain","name":"x","spec":{}},{"kind":"drain","name":"x","spec":{}}`, "twice"),
	}
}

// TestBadRequests sends invalid requests. Each must get its typed error with a remedy, and the
// configuration and the list of jobs must not change.
func TestBadRequests(t *testing.T) {
	ctx := testContext(t)
	started, operatorKey, tenantKey := startEmbedded(t, ctx)
	address := started.Gateways[0].Address()
	for _, bad := range badRequests(operatorKey, tenantKey) {
		t.Run(bad.name, func(t *testing.T) {
			detail := sendBadRequest(t, ctx, address, bad)
			if detail.Type != bad.want.String() {
				t.Errorf("got kind %q (%s), want %q", detail.Type, detail.Message, bad.want)
			}
			if !strings.Contains(detail.Message+detail.Param, bad.field) {
				t.Errorf("message %q does not contain %q", detail.Message, bad.field)
			}
			if detail.Remedy == "" {
				t.Errorf("message %q has no remedy", detail.Message)
			}
		})
	}
	status, err := operator.NewClient(address, operatorKey).Status(ctx)
	if err != nil || status.ConfigRevision != 1 {
		t.Errorf("status after invalid requests: %v (%v), want revision 1", status, err)
	}
	jobs, err := operator.NewClient(address, operatorKey).Jobs(ctx, "", 10)
	if err != nil || len(jobs.Jobs) != 0 {
		t.Errorf("jobs after invalid requests: %v (%v), want none", jobs, err)
	}
}

func sendBadRequest(t *testing.T, ctx context.Context, address string, bad badRequest) failure.Detail {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, bad.method, "http://"+address+bad.path, strings.NewReader(bad.body))
	if err != nil {
		t.Fatal(err)
	}
	if bad.key != "" {
		request.Header.Set("Authorization", "Bearer "+bad.key)
	}
	for name, value := range bad.header {
		request.Header.Set(name, value)
	}
	return readErrorDetail(t, request, bad.want)
}

func readErrorDetail(t *testing.T, request *http.Request, want failure.Kind) failure.Detail {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != want.HTTPStatus() {
		t.Errorf("got status %d, want %d", response.StatusCode, want.HTTPStatus())
	}
	var body failure.Body
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	return body.Error
}

// TestBadFiles uploads invalid files. Each error must name the invalid field, and the line if it
// is in one.
func TestBadFiles(t *testing.T) {
	ctx := testContext(t)
	started, _, tenantKey := startEmbedded(t, ctx)
	good := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"heron-8b","messages":[{"role":"user","content":"x"}]}}`
	cases := []struct {
		name, purpose, content, field string
	}{
		{"other purpose", "fine-tune", good, "purpose"},
		{"empty file", "batch", "\n\n", "file"},
		{"not JSON", "batch", good + "\nnonsense", "line 2"},
		{"no id", "batch", strings.Replace(good, `"a"`, `""`, 1), "line 1.custom_id"},
		{"id twice", "batch", good + "\n" + good, "line 2.custom_id"},
		{"other url", "batch", strings.Replace(good, "chat/completions", "embeddings", 1), "line 1.url"},
		{"other method", "batch", strings.Replace(good, "POST", "PUT", 1), "line 1.url"},
		{"other model", "batch", strings.Replace(good, "heron-8b", "other", 1), "line 1.body.model"},
		{"no messages", "batch", strings.Replace(good, `{"role":"user","content":"x"}`, "", 1), "line 1.body.messages"},
		{"very long line", "batch", good + "\n" + strings.Repeat("x", 2<<20), "line 2"},
	}
	for _, bad := range cases {
		t.Run(bad.name, func(t *testing.T) {
			var body bytes.Buffer
			form := multipart.NewWriter(&body)
			part, err := form.CreateFormFile("file", "items.jsonl")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(part, bad.content); err != nil {
				t.Fatal(err)
			}
			if err := form.WriteField("purpose", bad.purpose); err != nil {
				t.Fatal(err)
			}
			form.Close()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+started.Gateways[0].Address()+"/v1/files", &body)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+tenantKey)
			request.Header.Set("Content-Type", form.FormDataContentType())
			detail := readErrorDetail(t, request, failure.BadRequest)
			if detail.Param != bad.field {
				t.Errorf("the answer names %q, want %q", detail.Param, bad.field)
			}
		})
	}
}

// TestBadSettings loads invalid settings files. Each error must name the path of the field.
func TestBadSettings(t *testing.T) {
	cases := []struct {
		name, content, path string
		target              settings.Checked
	}{
		{"unknown field", "colour: red", "colour", settings.DefaultGateway()},
		{"unknown nested field", "heartbeat: {tempo: 1s}", "heartbeat.tempo", settings.DefaultGateway()},
		{"host name", "control: [\"control.example:7300\"]", "control.0", settings.DefaultGateway()},
		{"no port", "listen: 127.0.0.1", "listen", settings.DefaultGateway()},
		{"any address", "listen: 0.0.0.0:7400", "listen", settings.DefaultGateway()},
		{"no control", "control: []", "control", settings.DefaultDispatcher()},
		{"text for a number", "max_queue: many", "max_queue", settings.DefaultDispatcher()},
		{"number out of range", "max_queue: 0", "max_queue", settings.DefaultDispatcher()},
		{"bad duration", "load_interval: fast", "250ms", settings.DefaultDispatcher()},
		{"duration out of range", "worker_timeout: 1h", "worker_timeout", settings.DefaultDispatcher()},
		{"upper-case name", "name: Gateway", "name", settings.DefaultGateway()},
		{"bad level", "log_level: loud", "log_level", settings.DefaultControl()},
		{"no folder", "data_folder: \"\"", "data_folder", settings.DefaultControl()},
		{"too many groups", "job_groups: 100000", "job_groups", settings.DefaultControl()},
		{"bad digest", "operator_key_sha256: abc", "operator_key_sha256", settings.DefaultGateway()},
		{"no models", "models: []", "models", settings.DefaultEngine()},
		{"not a mapping", "- a\n- b", "mapping", settings.DefaultEngine()},
	}
	for _, bad := range cases {
		t.Run(bad.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(path, []byte(bad.content), 0o600); err != nil {
				t.Fatal(err)
			}
			err := settings.Load(path, bad.target, nil)
			if !failure.Is(err, failure.BadRequest) || !strings.Contains(fmt.Sprint(err), bad.path) {
				t.Errorf("got %v, want a bad request that names %q", err, bad.path)
			}
		})
	}
}
