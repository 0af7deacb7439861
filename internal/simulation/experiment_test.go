package simulation

import (
	"testing"
	"time"
)

// TestExperiment runs each variant for a short time and expects that no promise is broken, and that
// both online and batch work make progress.
func TestExperiment(t *testing.T) {
	for _, variant := range Variants() {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			m := RunExperiment(Profiles()["stundir"], variant, 2*time.Second, 1)
			for _, violation := range m.Violations {
				t.Errorf("%+v", violation)
			}
			if variant.Batch && m.BatchTokens[0] == 0 {
				t.Error("no batch tokens")
			}
			if variant.Online && m.Completed == 0 {
				t.Error("no online answers")
			}
		})
	}
}
