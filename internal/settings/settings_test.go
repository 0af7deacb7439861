package settings

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
)

func TestDefaultsAreValid(t *testing.T) {
	for name, target := range map[string]Checked{"gateway": DefaultGateway(), "dispatcher": DefaultDispatcher(), "control": DefaultControl(), "engine": DefaultEngine()} {
		if err := Load("", target, nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestLoadProperty loads files with random fields and values. Load must return either settings that
// pass all checks or a BadRequest failure with a remedy.
func TestLoadProperty(t *testing.T) {
	folder := t.TempDir()
	fields := []string{"name", "zone", "listen", "log_level", "stop_timeout", "control", "max_requests", "retry_percent", "heartbeat", "unknown_field", "max_body_bytes", "memory_mb", "request_memory_mb", "max_descriptors", "listen_connections"}
	values := []string{"x", "10.0.0.1:80", "localhost:80", "-1", "5s", "[]", "[10.0.0.1:80]", "{interval: 1s}", "{intervall: 1s}", "99999999999999999999", "true", "null", "''"}
	proptest.Run(t, "loaded or refused by name", func(random *rand.Rand) error {
		path := filepath.Join(folder, fmt.Sprintf("%d.yaml", random.Int63()))
		var text strings.Builder
		for _, index := range random.Perm(len(fields))[:1+random.Intn(3)] {
			fmt.Fprintf(&text, "%s: %s\n", fields[index], values[random.Intn(len(values))])
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			return err
		}
		target := DefaultGateway()
		err := Load(path, target, nil)
		if err == nil {
			checker := &Checker{}
			target.Check(checker)
			return errors.Wrapf(checker.Err(), "Load accepted settings that are not valid:\n%s", text.String())
		}
		if !failure.Is(err, failure.BadRequest) || failure.From(err).Remedy == "" {
			return errors.Newf("Load returned an error without the kind BadRequest or without a remedy:\n%s%v", text.String(), err)
		}
		return nil
	})
}
