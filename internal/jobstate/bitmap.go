package jobstate

import "math/bits"

const wordBits = 64

// bitmap is a fixed-size set of item numbers.
type bitmap []uint64

func newBitmap(items uint32) bitmap {
	return make(bitmap, (int(items)+wordBits-1)/wordBits)
}

func (b bitmap) has(item uint32) bool {
	return b[item/wordBits]&(1<<(item%wordBits)) != 0
}

func (b bitmap) set(item uint32) {
	b[item/wordBits] |= 1 << (item % wordBits)
}

// count returns the number of items in the set.
func (b bitmap) count() uint32 {
	total := 0
	for _, word := range b {
		total += bits.OnesCount64(word)
	}
	return uint32(total)
}
