// Package emulator holds the stand-ins for the systems that sedgemast serves:
// the language-model engine, the platform's list of workers and the weight
// store. The engine's batching is a pure model, which simulations drive in
// virtual time and the server drives in real time.
package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswerTokens  = 8
	answerTokenRange = 56
)

// Answer is what an engine generates for a prompt: it depends on the model, the
// adapter and the prompt alone, so that every answer can be checked whole.
type Answer struct {
	seed   uint64
	length int
}

// NewAnswer returns the answer to a prompt.
func NewAnswer(model, adapter, prompt string) Answer {
	seed := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	return Answer{seed: seed, length: minAnswerTokens + int(seed%answerTokenRange)}
}

// Token returns the text of the token at the position given.
func (a Answer) Token(position int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(a.seed, 16) + ":" + strconv.Itoa(position))
	return "w" + strconv.FormatUint(hash%100_000, 36) + " "
}

// Length returns the number of tokens generated with the limit given, and why
// the answer ends there.
func (a Answer) Length(maxTokens int) (int, string) {
	if a.length > maxTokens {
		return maxTokens, "length"
	}
	return a.length, "stop"
}

// Text returns the whole answer with the limit given.
func (a Answer) Text(maxTokens int) string {
	length, _ := a.Length(maxTokens)
	var text strings.Builder
	for position := 0; position < length; position++ {
		text.WriteString(a.Token(position))
	}
	return text.String()
}
