package wire

//msgp:limit arrays:1048576 maps:65536

// FleetCommand is a command of the fleet group's log. Exactly one field is set.
type FleetCommand struct {
	Apply   *ApplyRoutes `msg:"apply"`
	Form    *FormStores  `msg:"form"`
	Retire  *RetireStore `msg:"retire"`
	Retired *RetireStore `msg:"retired"`

	Quarantine *QuarantineCommand `msg:"quarantine"`
}

// ApplyRoutes brings in a whole configuration of routes and pools.
type ApplyRoutes struct {
	// Version orders configurations: the highest one is in force.
	Version uint64 `msg:"version"`
	// Document is the encoded routetable.Configuration.
	Document []byte `msg:"document,limit=33554432"`
	// Source is what the operator sent, byte for byte.
	Source []byte `msg:"source,limit=33554432"`
}

// FormStores names the first voters of each store group, and so how many groups there
// are. Only the first such command counts.
type FormStores struct {
	Groups [][]Replica `msg:"groups"`
}

// RetireStore names a store process that is to hold nothing any more.
type RetireStore struct {
	Name string `msg:"name"`
	// Counted is how many stores had been asked for when it was checked that
	// enough would be left. The command fails if others were meanwhile.
	Counted int `msg:"counted"`
}

// FleetResult is the answer to a FleetCommand.
type FleetResult struct {
	Failure *Failure `msg:"failure"`
	// Version is the configuration in force after the command.
	Version uint64 `msg:"version"`
	// Changed is set where the command changed the state.
	Changed bool `msg:"changed"`
}

// ProcessKind says what a watching process is.
type ProcessKind uint8

const (
	// ProcessEdge serves callers.
	ProcessEdge ProcessKind = iota
	// ProcessStore keeps batch jobs.
	ProcessStore
	// ProcessRelay is a coordinator that does not lead: it answers watches of edges.
	ProcessRelay
)

// ProcessReport is what a process tells the coordinator of itself.
type ProcessReport struct {
	Kind ProcessKind `msg:"kind"`
	Name string      `msg:"name"`
	Zone string      `msg:"zone"`
	// Replica and Formed are a store's.
	Replica Replica `msg:"replica"`
	Formed  bool    `msg:"formed"`
	// Led lists the store groups that the process leads.
	Led []GroupReport `msg:"led"`
	// Edges counts the edges that watch a relay.
	Edges int `msg:"edges"`
}

// GroupReport is what the leader of a store group tells of it.
type GroupReport struct {
	Group int `msg:"group"`
	// Term is the one that the process leads in.
	Term uint64 `msg:"term"`
	// Members lists the names of the processes that hold its data.
	Members []string `msg:"members"`
}

// WatchRequest asks the coordinator's leader for what differs from what the
// caller knows. It is held until something does, for WaitMillis at most.
type WatchRequest struct {
	Origin  `msg:"-" json:"-"`
	Process ProcessReport `msg:"process"`
	// Version and View are the last ones received, zero for none.
	Version uint64 `msg:"version"`
	View    uint64 `msg:"view"`
	// Term is the leader's term that View belongs to.
	Term       uint64 `msg:"term"`
	WaitMillis int64  `msg:"wait_millis"`
	// Quarantine is the revision of what the caller knows of refused requests.
	Quarantine uint64 `msg:"quarantine"`
	// Digests are those of the buckets of the caller's list of workers, where the one
	// that is asked may not know which list View stands for. Lost is set where the list
	// came out as another one than was told: View says nothing of it then.
	Digests []byte `msg:"digests"`
	Lost    bool   `msg:"lost"`
}

// WatchResponse tells what differs.
type WatchResponse struct {
	Version uint64 `msg:"version"`
	// Document is the configuration, unless the caller has this version.
	Document []byte `msg:"document,limit=33554432"`
	Term     uint64 `msg:"term"`
	View     uint64 `msg:"view"`
	// Fleet is the view of processes and workers, unless the caller has it.
	Fleet *FleetView `msg:"fleet"`
	// Quarantine is what differs of the requests under which workers ended, nil where
	// nothing does.
	Quarantine *QuarantineNews `msg:"quarantine"`
	// AgeMillis is how long ago a relay heard the leader of whom it tells.
	AgeMillis int64 `msg:"age_millis"`
}

// FleetView is the leader's view of the processes and the workers.
type FleetView struct {
	// SameStores is set where all but News, Listed and Edges is left out: the caller has it
	// from the last view.
	SameStores bool `msg:"same_stores"`
	// Listed is set once the platform's list has been read.
	Listed bool `msg:"listed"`
	// Partial is set while a part of the list only has been read: it is for processes that
	// have none.
	Partial bool `msg:"partial"`
	// News is what differs of the list of workers, and its digest also where nothing does;
	// nil while nothing has been read.
	News *WorkerNews `msg:"news"`
	// Workers is the whole list in place of News for and by GenerationFirst, left out where
	// SameWorkers is set: the reader has it, and Listed, from the last view.
	SameWorkers  bool         `msg:"same_workers,omitempty"`
	Workers      []PoolWorker `msg:"workers,omitempty"`
	Coordinators []string     `msg:"coordinators"`
	// Relays lists the coordinators that answer watches of edges, the leader included.
	Relays []ProcessAddress `msg:"relays"`
	// Stores lists the living stores in the order of their names.
	Stores []ProcessAddress `msg:"stores"`
	// Groups says, by the group's number, where the store groups are, as far as that
	// is known. A leader may have changed since.
	Groups []GroupPlace `msg:"groups"`
	// Edges counts the processes that serve callers.
	Edges int `msg:"edges"`
	// Initial lists the first voters of each store group.
	Initial [][]Replica `msg:"initial"`
	// Retiring names stores that are to hold nothing any more.
	Retiring []string `msg:"retiring"`
}

// Upon returns the whole view but for the workers, where this one tells what differs from
// the one before. Stores stay known while a new leader has not heard of any yet.
func (v *FleetView) Upon(before *FleetView) FleetView {
	after := *v
	after.SameStores, after.News = false, nil
	after.SameWorkers, after.Workers = false, nil
	after.Listed = v.Listed || before.Listed
	after.Partial = v.Partial && !after.Listed
	if v.SameStores {
		after.Coordinators, after.Relays, after.Stores, after.Groups = before.Coordinators, before.Relays, before.Stores, before.Groups
		after.Initial, after.Retiring = before.Initial, before.Retiring
	}
	if len(after.Stores) == 0 {
		after.Stores = before.Stores
	}
	return after
}

// WorkerNews tells a reader what it lacks of the list of workers.
type WorkerNews struct {
	// Whole is set where Rows are all workers; else they are those that came or changed,
	// and Gone names those that left.
	Whole bool         `msg:"whole"`
	Rows  []PoolWorker `msg:"rows"`
	Gone  []string     `msg:"gone"`
	// Buckets are told whole in place of changes.
	Buckets []WorkerBucket `msg:"buckets"`
	// Digest is that of the whole list after the news.
	Digest uint64 `msg:"digest"`
}

// Nothing reports whether the list is the one that the reader has.
func (n *WorkerNews) Nothing() bool {
	return !n.Whole && len(n.Rows) == 0 && len(n.Gone) == 0 && len(n.Buckets) == 0
}

// WorkerBucket is a part of the list: all workers whose ids hash to its number.
//
//msgp:tuple WorkerBucket
type WorkerBucket struct {
	Number uint16
	Rows   []PoolWorker
}

// ProcessAddress says where a store or a coordinator is.
//
//msgp:tuple ProcessAddress
type ProcessAddress struct {
	Address string
	Zone    string
}

// GroupPlace says where a store group is.
//
//msgp:tuple GroupPlace
type GroupPlace struct {
	// Leader is the address of the group's leader, empty where none is known.
	Leader string
	// Members lists the addresses of the stores that hold its data, in order.
	Members []string
}

// Group returns where a store group is.
func (v *FleetView) Group(number int) GroupPlace {
	if number < 0 || number >= len(v.Groups) {
		return GroupPlace{}
	}
	return v.Groups[number]
}

// StoreAddresses returns where the stores are reached.
func (v *FleetView) StoreAddresses() []string {
	addresses := make([]string, 0, len(v.Stores))
	for _, store := range v.Stores {
		addresses = append(addresses, store.Address)
	}
	return addresses
}

// PoolWorker is one worker of a pool.
//
//msgp:tuple PoolWorker
type PoolWorker struct {
	// ID names one life of the worker, see package life.
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	Leaving bool
}

// RouteSource asks for the configuration as it was sent.
type RouteSource struct {
	Version uint64 `msg:"version"`
	Source  []byte `msg:"source,limit=33554432"`
}

// Retirement tells how far the emptying of a store is.
type Retirement struct {
	Name string `msg:"name"`
	Done bool   `msg:"done"`
}
