package routing

// PrefixIndex tracks the prompt blocks that an endpoint probably caches. It is
// filled from the endpoint's cache events, which may be late or incomplete, and
// corrected by the cache hits that answers report. When it is full, the oldest
// entries are evicted first.
type PrefixIndex struct {
	capacity int
	blocks   map[uint64]struct{}
	order    []uint64
}

// NewPrefixIndex returns an empty index of at most capacity blocks.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: capacity, blocks: map[uint64]struct{}{}}
}

// Add inserts blocks; blocks that are in the index already keep their age.
func (p *PrefixIndex) Add(blocks ...uint64) {
	for _, block := range blocks {
		if _, known := p.blocks[block]; known {
			continue
		}
		p.blocks[block] = struct{}{}
		p.order = append(p.order, block)
	}
	for len(p.order) > p.capacity {
		delete(p.blocks, p.order[0])
		p.order = p.order[1:]
	}
}

// Remove deletes blocks.
func (p *PrefixIndex) Remove(blocks ...uint64) {
	for _, block := range blocks {
		delete(p.blocks, block)
	}
	if len(p.order) > 2*len(p.blocks)+p.capacity/2 {
		p.compact()
	}
}

func (p *PrefixIndex) compact() {
	kept := make([]uint64, 0, len(p.blocks))
	for _, block := range p.order {
		if _, known := p.blocks[block]; known {
			kept = append(kept, block)
		}
	}
	p.order = kept
}

// Correct removes all but the first cached blocks of a prompt: an answer reported
// that the endpoint had only those.
func (p *PrefixIndex) Correct(blocks []uint64, cached int) {
	if cached < len(blocks) && p.Match(blocks) > cached {
		p.Remove(blocks[cached:]...)
	}
}

// Match returns the number of leading blocks that are probably cached.
func (p *PrefixIndex) Match(blocks []uint64) int {
	for index, block := range blocks {
		if _, known := p.blocks[block]; !known {
			return index
		}
	}
	return len(blocks)
}
