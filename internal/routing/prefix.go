package routing

// PrefixIndex remembers which prompt blocks an endpoint probably caches. It is
// fed by the endpoint's late and gapped cache events and corrected by what the
// answers tell. The oldest entries go first once it is full.
type PrefixIndex struct {
	capacity int
	blocks   map[uint64]struct{}
	order    []uint64
}

// NewPrefixIndex returns an empty index of at most capacity blocks.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: capacity, blocks: map[uint64]struct{}{}}
}

// Add remembers blocks.
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

// Remove forgets blocks.
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

// Correct takes in that of the blocks only the first cached ones were there.
func (p *PrefixIndex) Correct(blocks []uint64, cached int) {
	if cached < len(blocks) && p.Match(blocks) > cached {
		p.Remove(blocks[cached:]...)
	}
}

// Match returns how many leading blocks are probably cached.
func (p *PrefixIndex) Match(blocks []uint64) int {
	for index, block := range blocks {
		if _, known := p.blocks[block]; !known {
			return index
		}
	}
	return len(blocks)
}
