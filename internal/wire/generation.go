package wire

// Generation counts the forms in which builds write to one another. Machines are replaced
// one after the other, so that builds of two generations run side by side for a while, and
// the newer one may have to make way for the older again.
//
// A message may get fields, which older readers pass over; a released field keeps its name
// and shape. Only where an older reader needs another answer does the writer look at the
// reader's generation, which comes with each call (package rpc).
type Generation uint8

const (
	// GenerationFirst is that of builds that tell none. They are told the list of workers
	// whole, by the leader alone, and pass over what is known of requests under which
	// workers ended.
	GenerationFirst Generation = 1
	// GenerationCurrent is this build's.
	GenerationCurrent Generation = 2
)

// Origin is embedded in messages whose reader must know who wrote them: the generation of
// the writer's build, zero for this one's.
type Origin Generation

// WrittenBy takes in the writer's generation. Package rpc calls it for what came.
func (o *Origin) WrittenBy(generation Generation) { *o = Origin(generation) }

// Generation returns the generation of the writer's build.
func (o Origin) Generation() Generation {
	if o == 0 {
		return GenerationCurrent
	}
	return Generation(o)
}
