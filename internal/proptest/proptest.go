// Package proptest runs property-based tests with a fixed seed, so that CI gets the same result
// each time. Environment variables select another seed and number of tests.
package proptest

import (
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
)

const (
	defaultSeed  = 20261202
	defaultTests = 100
	// SeedVariable and TestsVariable are the environment variables that override the defaults.
	SeedVariable  = "SEDGEMAST_PROPERTY_SEED"
	TestsVariable = "SEDGEMAST_PROPERTY_TESTS"
)

// Run checks that a property holds for random sources of many seeds. A failing seed is printed.
func Run(t *testing.T, name string, property func(random *rand.Rand) error) {
	t.Helper()
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(fromEnvironment(SeedVariable, defaultSeed)))
	parameters.MinSuccessfulTests = int(fromEnvironment(TestsVariable, defaultTests))
	properties := gopter.NewProperties(parameters)
	properties.Property(name, gopter.Prop(func(generator *gopter.GenParameters) *gopter.PropResult {
		seed := generator.Rng.Int63()
		if err := property(rand.New(rand.NewSource(seed))); err != nil {
			return &gopter.PropResult{
				Status: gopter.PropFalse,
				Labels: []string{"seed " + strconv.FormatInt(seed, 10) + ": " + err.Error()},
			}
		}
		return &gopter.PropResult{Status: gopter.PropTrue}
	}))
	properties.TestingRun(t)
}

func fromEnvironment(name string, fallback int64) int64 {
	value, err := strconv.ParseInt(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return value
}
