// Write prints samples of all messages of this build, or what this build decodes from a file
// of samples of another build. scripts/corpus.sh runs it in the source tree of a release.
package main

import (
	"encoding/json"
	"os"

	"github.com/sedgemast/sedgemast/internal/wire/corpus"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// run prints samples, or the readings of the sample file in the first argument.
func run(arguments []string) error {
	if len(arguments) == 0 {
		samples, err := corpus.Write()
		return print(samples, err)
	}
	content, err := os.ReadFile(arguments[0])
	if err != nil {
		return err
	}
	var samples map[string]corpus.Sample
	if err := json.Unmarshal(content, &samples); err != nil {
		return err
	}
	readings, err := corpus.Read(samples)
	return print(readings, err)
}

func print[Value any](values map[string]Value, err error) error {
	if err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(values, "", " ")
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(append(encoded, '\n'))
	return err
}
