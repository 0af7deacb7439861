package gateway

import (
	"encoding/json"
	"testing"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/metastate"
)

func fuzzTenant() *configuration.Tenant {
	spec := metastate.DefaultTenantSpec()
	spec.Models = []string{"heron-8b"}
	return &configuration.Tenant{Name: "school", Spec: spec}
}

// FuzzChatRequest checks that the decoder of chat requests turns any body into a request that a
// dispatcher accepts, or into a typed failure.
func FuzzChatRequest(f *testing.F) {
	f.Add([]byte(`{"model":"heron-8b","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"heron-8b","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true}`))
	f.Add([]byte(`{"model":"heron-8b:adapter","messages":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body chatRequest
		if json.Unmarshal(data, &body) != nil {
			return
		}
		request, err := body.validate(fuzzTenant())
		if err != nil {
			if kind := failure.KindOf(err); kind == failure.Internal {
				t.Errorf("untyped failure: %v", err)
			}
			return
		}
		if request.Model != "heron-8b" || request.MaxTokens < 1 || request.Prompt == "" {
			t.Errorf("accepted %+v", request)
		}
	})
}

// FuzzBatchLine checks that the decoder of input files turns any line into a valid item or a typed
// failure, and rejects a repeated custom_id.
func FuzzBatchLine(f *testing.F) {
	f.Add([]byte(`{"custom_id":"1","method":"POST","url":"/v1/chat/completions","body":{"model":"heron-8b","messages":[{"role":"user","content":"hello"}]}}`))
	f.Add([]byte(`{"custom_id":"","method":"GET"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		u := &upload{tenant: fuzzTenant(), seenIDs: map[uint64]struct{}{}}
		line, err := u.parseLine(data)
		if err != nil {
			if kind := failure.KindOf(err); kind == failure.Internal {
				t.Errorf("untyped failure: %v", err)
			}
			return
		}
		if line.CustomID == "" || line.Prompt == "" || line.MaxTokens < 1 {
			t.Errorf("accepted %+v", line)
		}
		if _, err := u.parseLine(data); err == nil {
			t.Error("a repeated custom_id was accepted")
		}
	})
}
