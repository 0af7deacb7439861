package wire

//msgp:limit arrays:1048576 maps:65536

// FleetCommand is a command of the fleet group's log. Exactly one field is set: Apply replaces
// the configuration, Form bootstraps the store groups, Retire requests that a store is drained,
// Retired records that it is drained, and Quarantine changes the quarantine.
type FleetCommand struct {
	Apply   *ApplyRoutes `msg:"apply"`
	Form    *FormStores  `msg:"form"`
	Retire  *RetireStore `msg:"retire"`
	Retired *RetireStore `msg:"retired"`

	Quarantine *QuarantineCommand `msg:"quarantine"`
}

// ApplyRoutes replaces the configuration of routes and pools.
type ApplyRoutes struct {
	// Version orders configurations: the one with the highest version is in force.
	Version uint64 `msg:"version"`
	// Document is the encoded routetable.Configuration.
	Document []byte `msg:"document,limit=33554432"`
	// Source is the configuration exactly as the operator sent it.
	Source []byte `msg:"source,limit=33554432"`
}

// FormStores bootstraps the store groups. Groups lists the initial voters of each group, and
// thereby sets the number of groups. Only the first such command takes effect.
type FormStores struct {
	Groups [][]Replica `msg:"groups"`
}

// RetireStore names a store process that is to be drained, so that it holds no data any more.
type RetireStore struct {
	Name string `msg:"name"`
	// Counted is the number of requested retirements when the coordinator checked that enough
	// stores would be left. The command fails if others have been requested since.
	Counted int `msg:"counted"`
}

// FleetResult is the response to a FleetCommand.
type FleetResult struct {
	Failure *Failure `msg:"failure"`
	// Version is the configuration in force after the command.
	Version uint64 `msg:"version"`
	// Changed is set if the command changed the state.
	Changed bool `msg:"changed"`
}

// ProcessKind is the kind of a process that polls a coordinator.
type ProcessKind uint8

const (
	// ProcessEdge serves callers.
	ProcessEdge ProcessKind = iota
	// ProcessStore stores batch jobs.
	ProcessStore
	// ProcessRelay is a coordinator that does not lead: it answers polls of edges.
	ProcessRelay
)

// ProcessReport describes the sending process to a coordinator.
type ProcessReport struct {
	Kind ProcessKind `msg:"kind"`
	Name string      `msg:"name"`
	Zone string      `msg:"zone"`
	// Replica and Formed are set by stores, see Hello.
	Replica Replica `msg:"replica"`
	Formed  bool    `msg:"formed"`
	// Led lists the store groups that the process leads.
	Led []GroupReport `msg:"led"`
	// Edges is set by relays: the number of edges that poll the relay.
	Edges int `msg:"edges"`
}

// GroupReport is the report of a store group by its leader.
type GroupReport struct {
	Group int `msg:"group"`
	// Term is the term in which the process leads the group.
	Term uint64 `msg:"term"`
	// Members lists the names of the processes that hold the group's data.
	Members []string `msg:"members"`
}

// WatchRequest polls a coordinator for changes since the state that the caller has. The call
// waits for a change for WaitMillis at most.
type WatchRequest struct {
	Origin  `msg:"-" json:"-"`
	Process ProcessReport `msg:"process"`
	// Version and View are the configuration version and view number received last, zero for
	// none.
	Version uint64 `msg:"version"`
	View    uint64 `msg:"view"`
	// Term is the leader's term that View belongs to.
	Term       uint64 `msg:"term"`
	WaitMillis int64  `msg:"wait_millis"`
	// Quarantine is the revision of the quarantine that the caller has.
	Quarantine uint64 `msg:"quarantine"`
	// Digests holds the digests of the buckets of the caller's list of workers. It is set if
	// the polled coordinator may not know which list View stands for. Lost is set if the
	// list's digest did not match after an update: View then does not describe the list.
	Digests []byte `msg:"digests"`
	Lost    bool   `msg:"lost"`
	// Listed is set if the caller has a whole list of workers. It does not need a part of one.
	Listed bool `msg:"listed"`
}

// WatchResponse carries what has changed.
type WatchResponse struct {
	Version uint64 `msg:"version"`
	// Document is the configuration, nil if the caller has this version.
	Document []byte `msg:"document,limit=33554432"`
	Term     uint64 `msg:"term"`
	View     uint64 `msg:"view"`
	// Fleet is the view of processes and workers, nil if the caller has it.
	Fleet *FleetView `msg:"fleet"`
	// Quarantine holds the changes of the quarantine, that is, of the requests that were
	// running when a worker process exited. It is nil if there are none.
	Quarantine *QuarantineNews `msg:"quarantine"`
	// AgeMillis is set by relays: the age of the leader's last message to the relay.
	AgeMillis int64 `msg:"age_millis"`
	// ListDigest is the digest of the coordinator's list of workers, zero if it has none.
	// ListAgeMillis is the time from the beginning of the reading that confirmed this list to the
	// arrival of the poll. It is negative if the reading began later.
	ListDigest    uint64 `msg:"list_digest"`
	ListAgeMillis int64  `msg:"list_age_millis"`
}

// FleetView is the leader's view of the processes and the workers.
type FleetView struct {
	// SameStores is set if only News, Listed and Edges are set, and all other fields are as in
	// the caller's last view.
	SameStores bool `msg:"same_stores"`
	// Listed is set once the platform's list has been read.
	Listed bool `msg:"listed"`
	// Partial is set while only a part of the list has been read. Only processes that have no
	// list use such a part.
	Partial bool `msg:"partial"`
	// News holds the changes of the list of workers, and the list's digest even if there are
	// none. It is nil while no list has been read.
	News *WorkerNews `msg:"news"`
	// Workers is the whole list, which processes of GenerationFirst send and receive instead
	// of News. With SameWorkers set it is omitted, and the list and Listed are as in the
	// reader's last view.
	SameWorkers  bool         `msg:"same_workers,omitempty"`
	Workers      []PoolWorker `msg:"workers,omitempty"`
	Coordinators []string     `msg:"coordinators"`
	// Relays lists the coordinators that answer polls of edges, including the leader.
	Relays []ProcessAddress `msg:"relays"`
	// Stores lists the live stores, ordered by name.
	Stores []ProcessAddress `msg:"stores"`
	// Groups holds the known addresses of each store group's leader and members, indexed by the
	// group's number. The leader of a group may have changed since.
	Groups []GroupPlace `msg:"groups"`
	// Edges is the number of processes that serve callers.
	Edges int `msg:"edges"`
	// Initial lists the initial voters of each store group.
	Initial [][]Replica `msg:"initial"`
	// Retiring names the stores that are being drained or are drained.
	Retiring []string `msg:"retiring"`
}

// ApplyTo returns the complete view, without the list of workers, that results from applying this
// update to the previous view. While a new leader has received no report of any store, the
// stores of the previous view are kept.
func (v *FleetView) ApplyTo(previous *FleetView) FleetView {
	view := *v
	view.SameStores, view.News = false, nil
	view.SameWorkers, view.Workers = false, nil
	view.Listed = v.Listed || previous.Listed
	view.Partial = v.Partial && !view.Listed
	if v.SameStores {
		view.Coordinators, view.Relays, view.Stores, view.Groups = previous.Coordinators, previous.Relays, previous.Stores, previous.Groups
		view.Initial, view.Retiring = previous.Initial, previous.Retiring
	}
	if len(view.Stores) == 0 {
		view.Stores = previous.Stores
	}
	return view
}

// WorkerNews is an update of a reader's list of workers.
type WorkerNews struct {
	// Whole is set if Rows holds all workers. Otherwise Rows holds those that were added or
	// changed, and Gone names those that were removed.
	Whole bool         `msg:"whole"`
	Rows  []PoolWorker `msg:"rows"`
	Gone  []string     `msg:"gone"`
	// Buckets holds all workers of the listed buckets, and is sent instead of single changes.
	Buckets []WorkerBucket `msg:"buckets"`
	// Digest is the digest of the whole list after the update.
	Digest uint64 `msg:"digest"`
}

// IsEmpty reports whether the update leaves the reader's list unchanged.
func (n *WorkerNews) IsEmpty() bool {
	return !n.Whole && len(n.Rows) == 0 && len(n.Gone) == 0 && len(n.Buckets) == 0
}

// WorkerBucket is the part of the list whose workers' ids hash to its number.
//
//msgp:tuple WorkerBucket
type WorkerBucket struct {
	Number uint16
	Rows   []PoolWorker
}

// ProcessAddress is the address and zone of a store or coordinator.
//
//msgp:tuple ProcessAddress
type ProcessAddress struct {
	Address string
	Zone    string
}

// GroupPlace holds the addresses of a store group's members.
//
//msgp:tuple GroupPlace
type GroupPlace struct {
	// Leader is the address of the group's leader, empty if none is known.
	Leader string
	// Members lists the addresses of the stores that hold the group's data, in order.
	Members []string
}

// Group returns the addresses of a store group; the zero value if they are not known.
func (v *FleetView) Group(number int) GroupPlace {
	if number < 0 || number >= len(v.Groups) {
		return GroupPlace{}
	}
	return v.Groups[number]
}

// StoreAddresses returns the addresses of the stores.
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
	// ID identifies one incarnation of the worker, see package incarnation.
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	Leaving bool
}

// RouteSource is the configuration as the operator sent it, with its version.
type RouteSource struct {
	Version uint64 `msg:"version"`
	Source  []byte `msg:"source,limit=33554432"`
}

// Retirement is the state of draining a store. Done is set once the store holds no data.
type Retirement struct {
	Name string `msg:"name"`
	Done bool   `msg:"done"`
}
