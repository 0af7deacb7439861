// Package emulator emulates the systems that sedgemast depends on: the language-model engine,
// the platform's worker list and the weight store. The engine's batching is a pure model:
// simulations run it in virtual time, the server runs it in real time.
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

// Answer is the text that an engine generates for a prompt. It depends only on the model, the
// adapter and the prompt, so a test can compute the expected text of any answer.
type Answer struct {
	seed   uint64
	length int
}

// NewAnswer returns the answer to a prompt.
func NewAnswer(model, adapter, prompt string) Answer {
	seed := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	return Answer{seed: seed, length: minAnswerTokens + int(seed%answerTokenRange)}
}

// Token returns the text of the token at the given position, counted from 0.
func (a Answer) Token(position int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(a.seed, 16) + ":" + strconv.Itoa(position))
	return "w" + strconv.FormatUint(hash%100_000, 36) + " "
}

// Length returns the number of tokens generated under the given limit, and the finish reason.
func (a Answer) Length(maxTokens int) (int, string) {
	if a.length > maxTokens {
		return maxTokens, "length"
	}
	return a.length, "stop"
}

// Text returns the complete answer under the given limit of tokens.
func (a Answer) Text(maxTokens int) string {
	length, _ := a.Length(maxTokens)
	var text strings.Builder
	for position := 0; position < length; position++ {
		text.WriteString(a.Token(position))
	}
	return text.String()
}
