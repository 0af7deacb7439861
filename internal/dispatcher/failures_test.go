package dispatcher

import (
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestOnlyStatedRejectionsAreNotRun guards against a promise that nothing ran for an engine's rejection by
// a code that does not state it.
func TestOnlyStatedRejectionsAreNotRun(t *testing.T) {
	for code, want := range map[string]failure.Kind{
		engine.CodeSaturated:        failure.NotRun,
		engine.CodeStaleEpoch:       failure.NotRun,
		engine.CodeLeaving:          failure.NotRun,
		engine.CodeBusy:             failure.NotRun,
		engine.CodeUnknownModel:     failure.NotRun,
		engine.CodeInvalid:          failure.BadRequest,
		engine.CodeDuplicateAttempt: failure.OutcomeUnknown,
		engine.CodeStopped:          failure.OutcomeUnknown,
		engine.CodeUnknownAttempt:   failure.OutcomeUnknown,
		"of_a_newer_engine":         failure.OutcomeUnknown,
	} {
		if got := failure.KindOf(startFailure(&engine.RejectedError{Code: code})); got != want {
			t.Errorf("%s: %s, want %s", code, got, want)
		}
	}
}

// TestTextWithoutEndIsCut guards against an engine that fills a dispatcher's memory with text for no
// tokens.
func TestTextWithoutEndIsCut(t *testing.T) {
	task := &task{dispatcher: &Dispatcher{scheduler: scheduling.New(scheduling.Config{}, nil)}, request: &wire.GenerateRequest{MaxTokens: 4}, attempt: &scheduling.Attempt{}}
	piece := &engine.Event{Type: engine.EventTokens, Text: strings.Repeat("x", 16<<10)}
	for kept := 0; kept < 1<<20; kept += len(piece.Text) {
		if err := task.applyTokens(piece); err != nil {
			if !failure.Is(err, failure.OutcomeUnknown) || task.answer.text.Len() > minTextBytes+len(piece.Text) {
				t.Errorf("%v after %d bytes", err, task.answer.text.Len())
			}
			return
		}
	}
	t.Errorf("%d bytes kept", task.answer.text.Len())
}
