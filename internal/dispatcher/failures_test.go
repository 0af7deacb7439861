package dispatcher

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
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
