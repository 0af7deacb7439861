package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = 16

// Tokenize splits a prompt into tokens. The published protocol counts words.
func Tokenize(prompt string) []string { return strings.Fields(prompt) }

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int {
	count := 0
	inside := false
	for i := 0; i < len(prompt); i++ {
		space := prompt[i] == ' ' || prompt[i] == '\n' || prompt[i] == '\t' || prompt[i] == '\r'
		if !space && !inside {
			count++
		}
		inside = !space
	}
	return count
}

// PrefixBlocks returns the chained hashes of the prompt's whole blocks: two
// prompts share the first n hashes exactly if they share the first n blocks,
// the model and the adapter.
func PrefixBlocks(model, adapter, prompt string) []uint64 {
	tokens := Tokenize(prompt)
	chain := xxhash.Sum64String(model + "\x00" + adapter)
	blocks := make([]uint64, 0, len(tokens)/BlockTokens)
	digest := xxhash.New()
	for start := 0; start+BlockTokens <= len(tokens); start += BlockTokens {
		digest.Reset()
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, chain))
		for _, token := range tokens[start : start+BlockTokens] {
			_, _ = digest.WriteString(token)
			_, _ = digest.WriteString(" ")
		}
		chain = digest.Sum64()
		blocks = append(blocks, chain)
	}
	return blocks
}
