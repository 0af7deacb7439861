package test

import (
	"net"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/loadgen"
)

// TestPromptThatEndsEngines lets one prompt come again and again, under which each engine
// ends that begins it: three of eight end, and others are served.
func TestPromptThatEndsEngines(t *testing.T) {
	ctx := testContext(t)
	started, _, key := embeddedOf(t, ctx, fleet.Options{Engines: 8, ExitOnPrompt: "ends its engine"})
	client := loadgen.NewClient(started.Gateways[0].Address(), key)
	ask := func(text string) bool {
		request := &loadgen.Request{Model: testModel, Text: text, MaxTokens: 4, Stream: true, Deadline: 10 * time.Second}
		reply, err := client.Chat(ctx, request)
		return err == nil && reply.Text == request.Expected()
	}
	for range 6 {
		if ask("this ends its engine") {
			t.Error("the prompt has an answer")
		}
	}
	ended := 0
	for _, member := range started.Engines {
		if conn, err := net.Dial("tcp", member.Address()); err != nil {
			ended++
		} else {
			_ = conn.Close()
		}
	}
	t.Logf("%d of %d engines ended", ended, len(started.Engines))
	if ended < 1 || ended > 4 {
		t.Errorf("%d of %d engines ended, three and one under a trial may", ended, len(started.Engines))
	}
	eventually(t, "another prompt is served", func() bool { return ask("harmless") })
}
