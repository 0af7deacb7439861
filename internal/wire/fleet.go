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
	Process ProcessReport `msg:"process"`
	// Version and View are the last ones received, zero for none.
	Version uint64 `msg:"version"`
	View    uint64 `msg:"view"`
	// Term is the leader's term that View belongs to.
	Term       uint64 `msg:"term"`
	WaitMillis int64  `msg:"wait_millis"`
	// Quarantine is the revision of what the caller knows of refused requests.
	Quarantine uint64 `msg:"quarantine"`
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
}

// FleetView is the leader's view of the processes and the workers.
type FleetView struct {
	// SameWorkers is set where Listed and Workers are left out, SameStores where all
	// else but Edges is: the caller has them from the last view of the same term.
	SameWorkers bool `msg:"same_workers"`
	SameStores  bool `msg:"same_stores"`
	// Listed is set once the platform's list has been read.
	Listed       bool         `msg:"listed"`
	Workers      []PoolWorker `msg:"workers"`
	Coordinators []string     `msg:"coordinators"`
	// Stores lists the living stores in the order of their names.
	Stores []StoreAddress `msg:"stores"`
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

// Upon returns the whole view, where this one tells what differs from the one before.
// Workers and stores stay known while a new leader has not heard of any yet.
func (v *FleetView) Upon(before *FleetView) FleetView {
	after := *v
	after.SameWorkers, after.SameStores = false, false
	if v.SameWorkers || !v.Listed {
		after.Workers, after.Listed = before.Workers, before.Listed
	}
	if v.SameStores {
		after.Coordinators, after.Stores, after.Groups = before.Coordinators, before.Stores, before.Groups
		after.Initial, after.Retiring = before.Initial, before.Retiring
	}
	if len(after.Stores) == 0 {
		after.Stores = before.Stores
	}
	return after
}

// StoreAddress says where a store is.
//
//msgp:tuple StoreAddress
type StoreAddress struct {
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
	// ID names one incarnation of the worker.
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
