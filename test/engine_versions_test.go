package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/loadgen"
)

// TestEngineTextOfTwoVersions guards against answers that an engine of another version continues after
// the first engine exited, at the same dispatcher or at another one.
func TestEngineTextOfTwoVersions(t *testing.T) {
	for _, dispatchers := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d dispatchers", dispatchers), func(t *testing.T) {
			const requests = 60
			ctx := testContext(t)
			started, _, key := startEmbeddedWith(t, ctx, fleet.Options{Engines: 8, Dispatchers: dispatchers, Versions: []string{"v1", "v1.1"}})
			client := loadgen.NewClient(started.Gateways[0].Address(), key)
			var mutex sync.Mutex
			var callers sync.WaitGroup
			complete := 0
			for number := range requests {
				callers.Go(func() {
					time.Sleep(time.Duration(number) * 10 * time.Millisecond)
					request := &loadgen.Request{Model: testModel, Text: fmt.Sprintf("prompt %d", number), MaxTokens: 64, Stream: true, Deadline: 10 * time.Second}
					reply, err := client.Chat(ctx, request)
					mutex.Lock()
					defer mutex.Unlock()
					if err == nil {
						complete++
					}
					if reply != nil && len(versionsIn(reply.Text)) > 1 {
						t.Errorf("answer %d has text of %v: %s", number, versionsIn(reply.Text), reply.Text)
					}
				})
			}
			for _, engine := range started.Engines[:4] {
				time.Sleep(120 * time.Millisecond)
				if err := engine.Daemon.Kill(); err != nil {
					t.Error(err)
				}
			}
			callers.Wait()
			t.Logf("%d of %d answers are complete", complete, requests)
			if complete < requests/2 {
				t.Errorf("%d of %d answers are complete, though each version keeps two engines", complete, requests)
			}
		})
	}
}
