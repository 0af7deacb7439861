package wire

// LoadReport tells how many requests a process has at each worker. It travels as
// a datagram, so it is packed without names.
//
//msgp:tuple LoadReport
type LoadReport struct {
	// Source is the hash of the sender's name.
	Source  uint32
	Workers []WorkerLoad
}

// WorkerLoad is the load of one worker.
//
//msgp:tuple WorkerLoad
type WorkerLoad struct {
	// Worker is the hash of the worker's id.
	Worker uint32
	// Online and Batch count requests of each kind.
	Online uint16
	Batch  uint16
	// Unread counts prompt tokens that are still to be read.
	Unread uint32
}
