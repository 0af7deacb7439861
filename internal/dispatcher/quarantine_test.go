package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestPromptBeginningThatMakesEnginesExitIsRefused lets engines exit under prompts, no two alike, that
// begin with the same text.
func TestPromptBeginningThatMakesEnginesExitIsRefused(t *testing.T) {
	d := &Dispatcher{quarantine: quarantine.NewLocal()}
	newPrompt := func(beginning string, number int) *task {
		text := strings.Repeat(beginning+" ", engine.BlockTokens) + fmt.Sprint(number)
		return &task{dispatcher: d, request: &wire.GenerateRequest{Model: "m", Prompt: text}}
	}
	now := time.Unix(1000, 0)
	for number := range quarantine.Threshold {
		t := newPrompt("crash", number)
		d.quarantine.RecordExit(now, t.subject(), fmt.Sprint("w", number), now)
	}
	if allowed, wait := d.quarantine.MayRun(now, newPrompt("crash", 99).subject(), false); allowed || wait <= 0 {
		t.Errorf("a further prompt with the same beginning: allowed %t, retry after %s", allowed, wait)
	}
	if allowed, _ := d.quarantine.MayRun(now, newPrompt("sound", 99).subject(), false); !allowed {
		t.Error("a prompt with another beginning is refused")
	}
}
