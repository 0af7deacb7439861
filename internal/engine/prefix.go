package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = 16

// Tokenize splits a prompt into tokens. In the published protocol, a token is a word.
func Tokenize(prompt string) []string { return strings.Fields(prompt) }

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int {
	count := 0
	inToken := false
	for i := 0; i < len(prompt); i++ {
		isSpace := prompt[i] == ' ' || prompt[i] == '\n' || prompt[i] == '\t' || prompt[i] == '\r'
		if !isSpace && !inToken {
			count++
		}
		inToken = !isSpace
	}
	return count
}

// PrefixBlocks returns the chained hashes of the prompt's full blocks, without a shorter last
// one. Two prompts share the first n hashes if and only if they share the first n blocks,
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
