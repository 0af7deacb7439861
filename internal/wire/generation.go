package wire

// Generation is the version of the protocol between processes that a build uses. During an
// upgrade machines are replaced one by one, so builds of two generations run side by side for
// a while, and the upgrade may be rolled back.
//
// New fields may be added to a message, because older readers ignore them; a released field
// keeps its name and type. A sender checks the generation of the reader, which comes with each
// call (package rpc), only where an older reader needs a different response.
type Generation uint8

const (
	// GenerationFirst is the generation of builds that do not send their generation. Only the
	// leader answers their polls; it sends them the list of workers as a whole, never as
	// changes. They ignore the quarantine.
	GenerationFirst Generation = 1
	// GenerationCurrent is the generation of this build.
	GenerationCurrent Generation = 2
)

// Origin is embedded in messages whose reader must know the generation of the build that
// sent them. Zero stands for the generation of this build.
type Origin Generation

// SetGeneration sets the generation of the sender's build. Package rpc calls it for each received
// message.
func (o *Origin) SetGeneration(generation Generation) { *o = Origin(generation) }

// Generation returns the generation of the sender's build.
func (o Origin) Generation() Generation {
	if o == 0 {
		return GenerationCurrent
	}
	return Generation(o)
}
