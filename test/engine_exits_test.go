package test

import (
	"net"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/loadgen"
)

// TestPromptThatMakesEnginesExit repeats a prompt that makes each engine exit that starts it. After
// three exits the prompt must be quarantined, so most of the eight engines survive and serve other
// prompts.
func TestPromptThatMakesEnginesExit(t *testing.T) {
	ctx := testContext(t)
	started, _, key := startEmbeddedWith(t, ctx, fleet.Options{Engines: 8, ExitOnPrompt: "ends its engine"})
	client := loadgen.NewClient(started.Gateways[0].Address(), key)
	send := func(text string) bool {
		request := &loadgen.Request{Model: testModel, Text: text, MaxTokens: 4, Stream: true, Deadline: 10 * time.Second}
		reply, err := client.Chat(ctx, request)
		return err == nil && reply.Text == request.Expected()
	}
	for range 6 {
		if send("this ends its engine") {
			t.Error("the prompt that makes engines exit was answered")
		}
	}
	exited := 0
	for _, engine := range started.Engines {
		if conn, err := net.Dial("tcp", engine.Address()); err != nil {
			exited++
		} else {
			_ = conn.Close()
		}
	}
	t.Logf("%d of %d engines exited", exited, len(started.Engines))
	if exited < 1 || exited > 4 {
		t.Errorf("%d of %d engines exited, want 1 to 4: three before the quarantine and one during a trial", exited, len(started.Engines))
	}
	eventually(t, "another prompt is served", func() bool { return send("harmless") })
}
