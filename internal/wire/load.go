package wire

//msgp:ignore LoadReport

// LoadReport reports how many requests a process has at each worker; hubs answer it with
// another LoadReport. It is sent as a datagram, so most of it is encoded without field names:
// first a LoadBase, a tuple whose length was released and must not change, then a LoadMore,
// which readers of GenerationFirst ignore.
type LoadReport struct {
	// Source is the hash of the sender's name.
	Source  uint32
	Workers []WorkerLoad
	// Hub is set in responses of a process that is not the hub: the address of the hub.
	Hub string
	// Sources is the number of processes that report loads. In the top hub's responses it counts
	// all such processes; in a zone's sums it counts those of the zone.
	Sources uint16
	// Waiting is set by stores: the number of items that could start.
	Waiting uint32
	// Groups holds the tokens that wait in store groups. A store reports the groups that it
	// leads; the hub sends stores all groups, with the age of its data.
	Groups []GroupTokens
	// Sums is set in reports of a zone's hub to the top hub, which hold the sums over the zone.
	Sums bool
	// Left is set in the last report to a hub: the sender reports to another hub from now on.
	Left bool
	// Quiet is set in reports that the hub must not answer.
	Quiet bool
	// Zone is set in reports of processes that serve callers: the zone whose workers each
	// response covers.
	Zone string
	// Part is set in responses that omit workers of other zones.
	Part bool
	// Tokens are the requests of a process that serves callers for tokens of tenants' limits, and
	// Verdicts are the responses.
	Tokens   []TokenQuestion
	Verdicts []TokenVerdict
	// Tenants is the update on tenants' limits that a zone's hub and the top hub send each
	// other, nil for none.
	Tenants *TenantNews
	// Choosing is set in reports of processes that are about to choose a worker. In a large
	// zone, only the responses to these reports hold loads of workers. Asked holds the hashes
	// of the ids of workers whose loads the process needs.
	Choosing bool
	Asked    []uint32
	// Drawn is set in responses that hold only a sample of the workers: they say nothing about
	// workers that are not listed.
	Drawn bool
	// Rest is set in the top hub's responses: the number of online requests that all workers
	// without load together answer in ten seconds. These workers are not listed.
	Rest uint32
	// Proofs is set in reports to hubs: the results of probes, that is, of requests that were
	// sent to avoided workers to find out whether they are healthy again.
	Proofs []WorkerProof
	// Repeatable is set in reports of processes that are about to choose a worker for a request
	// that may run more than once. Probes is set in the responses: the hashes of the ids of
	// avoided workers, one of which the request may probe.
	Repeatable bool
	Probes     []uint32
	// Claims are the claims on scarce capacity by requests of a process that serves callers, and
	// Standings are the responses to claims of tenants that are over their share.
	Claims    []RoomClaim
	Standings []RoomStanding
	// Begun and Short count the requests of a process that serves callers since its start. Begun is
	// the number of requests that a worker began to answer. Short is the number of requests for
	// which no worker had free capacity.
	Begun uint32
	Short uint32
	// Origins are the origins of streams: in reports those to keep, in responses those asked for.
	// Lookups are the streams whose origin the sender asks for. Unknown are the streams among them
	// of which the hub knows none.
	Origins []StreamOrigin
	Lookups []uint64
	Unknown []uint64
	// First is set on decoding if the sender is of GenerationFirst. It is not sent.
	First bool
}

// LoadBase is the part of a LoadReport that all generations read.
//
//msgp:tuple LoadBase
type LoadBase struct {
	Source  uint32
	Workers []WorkerLoad
	Hub     string
	Sources uint16
	Waiting uint32
	Groups  []GroupTokens
	Sums    bool
	Left    bool
	Quiet   bool
	Zone    string
	Part    bool
}

// LoadMore holds the fields that were added to LoadReport after GenerationFirst. They are
// encoded with names, so that more can be added, and fields that are not set are omitted.
type LoadMore struct {
	Tokens   []TokenQuestion `msg:"t,omitempty"`
	Verdicts []TokenVerdict  `msg:"v,omitempty"`
	Tenants  *TenantNews     `msg:"n,omitempty"`
	Choosing bool            `msg:"c,omitempty"`
	Asked    []uint32        `msg:"a,omitempty"`
	Drawn    bool            `msg:"d,omitempty"`
	Rest     uint32          `msg:"r,omitempty"`

	Proofs     []WorkerProof  `msg:"p,omitempty"`
	Repeatable bool           `msg:"e,omitempty"`
	Probes     []uint32       `msg:"b,omitempty"`
	Claims     []RoomClaim    `msg:"m,omitempty"`
	Standings  []RoomStanding `msg:"s,omitempty"`
	Begun      uint32         `msg:"g,omitempty"`
	Short      uint32         `msg:"o,omitempty"`

	Origins []StreamOrigin `msg:"x,omitempty"`
	Lookups []uint64       `msg:"q,omitempty"`
	Unknown []uint64       `msg:"u,omitempty"`
}

// MarshalMsg implements msgp.Marshaler.
func (r *LoadReport) MarshalMsg(buffer []byte) ([]byte, error) {
	base := LoadBase{
		Source: r.Source, Workers: r.Workers, Hub: r.Hub, Sources: r.Sources, Waiting: r.Waiting, Groups: r.Groups,
		Sums: r.Sums, Left: r.Left, Quiet: r.Quiet, Zone: r.Zone, Part: r.Part,
	}
	more := LoadMore{
		Tokens: r.Tokens, Verdicts: r.Verdicts, Tenants: r.Tenants,
		Choosing: r.Choosing, Asked: r.Asked, Drawn: r.Drawn, Rest: r.Rest,
		Proofs: r.Proofs, Repeatable: r.Repeatable, Probes: r.Probes,
		Claims: r.Claims, Standings: r.Standings, Begun: r.Begun, Short: r.Short,
		Origins: r.Origins, Lookups: r.Lookups, Unknown: r.Unknown,
	}
	encoded, err := base.MarshalMsg(buffer)
	if err != nil {
		return nil, err
	}
	return more.MarshalMsg(encoded)
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (r *LoadReport) UnmarshalMsg(data []byte) ([]byte, error) {
	var base LoadBase
	var more LoadMore
	rest, err := base.UnmarshalMsg(data)
	if err != nil {
		return rest, err
	}
	firstGeneration := len(rest) == 0
	if !firstGeneration {
		if rest, err = more.UnmarshalMsg(rest); err != nil {
			return rest, err
		}
	}
	*r = LoadReport{
		Source: base.Source, Workers: base.Workers, Hub: base.Hub, Sources: base.Sources, Waiting: base.Waiting, Groups: base.Groups,
		Sums: base.Sums, Left: base.Left, Quiet: base.Quiet, Zone: base.Zone, Part: base.Part,
		Tokens: more.Tokens, Verdicts: more.Verdicts, Tenants: more.Tenants,
		Choosing: more.Choosing, Asked: more.Asked, Drawn: more.Drawn, Rest: more.Rest,
		Proofs: more.Proofs, Repeatable: more.Repeatable, Probes: more.Probes,
		Claims: more.Claims, Standings: more.Standings, Begun: more.Begun, Short: more.Short,
		Origins: more.Origins, Lookups: more.Lookups, Unknown: more.Unknown,
		First: firstGeneration,
	}
	return rest, nil
}

// StreamOrigin is where a stream began: the pool and the software version of the worker that sent its
// first event. Stream is the hash of the tenant and the request's id.
//
//msgp:tuple StreamOrigin
type StreamOrigin struct {
	Stream  uint64
	Pool    string
	Version string
	// KeepMillis is for how long the stream's caller may take it up, counted from the report.
	KeepMillis uint32
}

// WorkerProof is the result of probes of an avoided worker since the last report. Well is the
// number of probes that it answered successfully; failed probes are counted in
// WorkerLoad.Failed like other requests. Worker is the hash of the worker's id.
//
//msgp:tuple WorkerProof
type WorkerProof struct {
	Worker uint32
	Well   uint16
}

// TokenQuestion requests a token of a tenant's limit, or returns one.
//
//msgp:tuple TokenQuestion
type TokenQuestion struct {
	// Ticket identifies the request for the token: sent again, it takes no second one.
	Ticket uint64
	// Tenant is the hash of the tenant's name.
	Tenant uint32
	// Back is set if the token is returned because its request did not run.
	Back bool
}

// TokenVerdict is the response to a TokenQuestion.
//
//msgp:tuple TokenVerdict
type TokenVerdict struct {
	Ticket  uint64
	Granted bool
	// RetryMillis is the time after which to retry if the token is not granted.
	RetryMillis uint32
	// Level is the number of tokens left, according to data of the age AgeMillis.
	Level     int32
	AgeMillis uint32
}

// RoomClaim is the claim of one request on scarce capacity.
//
//msgp:tuple RoomClaim
type RoomClaim struct {
	// Ticket identifies the request: repeated claims of one request count once.
	Ticket uint64
	// Tenant is the hash of the tenant's name, zero for callers that are not tenants.
	Tenant uint32
	Rank   int32
}

// RoomRateParts is the number of units of a RoomStanding's rates that make up one request per
// second.
const RoomRateParts = 10

// RoomStanding is the response to a RoomClaim of a tenant over its share. If a claim gets no
// RoomStanding, the tenant is within its share or the hub is of an older build.
//
//msgp:tuple RoomStanding
type RoomStanding struct {
	Ticket uint64
	// Asked is the tenant's demand in the zone, Share is its share of the capacity, and Room is the
	// zone's capacity for all tenants. All three are in tenths of a request per second
	// (RoomRateParts). AgeMillis is the age of these figures.
	Asked     uint32
	Share     uint32
	Room      uint32
	AgeMillis uint32
}

// TenantNews is the encoded form of ratelimit.Update. Mark is the Update's Sequence, HeardEpoch and
// Heard are its AckEpoch and AckSequence, and Complete is its AllZonesJoined.
//
//msgp:tuple TenantNews
type TenantNews struct {
	Epoch      uint32
	Mark       uint64
	HeardEpoch uint32
	Heard      uint64
	Complete   bool
	Rows       []TenantRow
}

// TenantRow is the encoded form of ratelimit.Row. Count is the Row's Taken, and Refills is its
// RefillShare.
//
//msgp:tuple TenantRow
type TenantRow struct {
	Tenant uint32
	Count  int64
	// Level is in hundredths of a token; Share and Refills are in thousandths of the whole.
	Level   int32
	Share   uint16
	Refills uint16
	Joining bool
	Counted bool
}

// GroupTokens is the number of tokens that wait in a store group, by route. AgeMillis is the age
// of the data.
//
//msgp:tuple GroupTokens
type GroupTokens struct {
	Group     uint8
	AgeMillis uint32
	Routes    []RouteTokens
}

// RouteTokens is the number of tokens of one owner that wait on a route.
//
//msgp:tuple RouteTokens
type RouteTokens struct {
	// Route is the hash of the route's name, scoped by the owner's name.
	Route  uint32
	Tokens int64
}

// WorkerLoad is the load of one worker.
//
//msgp:tuple WorkerLoad
type WorkerLoad struct {
	// Worker is the hash of the worker's id.
	Worker uint32
	// Online and Batch are the numbers of online and batch requests at the worker.
	Online uint16
	Batch  uint16
	// Unread is the pending prefill: the number of prompt tokens not processed yet.
	Unread uint32
	// Told is set in reports to the hub if the worker has reported its own number of requests since
	// the last report. Told is that number plus one; zero means that the worker has not reported
	// it.
	Told uint16
	// Answered and Failed are set in reports to the hub. Answered is the number of requests that
	// the worker answered since the last report. Failed is the number of requests that the worker
	// failed or did not respond to in the same time.
	Answered uint16
	Failed   uint16
	// Steps and StepMicros are set in reports to the hub. The sender measures the time between two
	// events at the worker. Steps is the number of these times since the last report, and
	// StepMicros is their sum in microseconds.
	Steps      uint16
	StepMicros uint32
	// Step is set by the hub: the worker's mean time between two events, in microseconds;
	// zero means unknown.
	Step uint32
	// Rate is set by the hub: the number of online requests that the worker answers in ten
	// seconds.
	Rate uint16
	// Start and Stop are set by the hub in responses to stores. Start is the number of items that
	// the store may start at the worker until its next report. Stop is the number of items that the
	// store must stop at the worker. Start is also set in responses to zones' hubs, for an avoided
	// worker that no item probes: one online request may then probe it.
	Start uint16
	Stop  uint16
	// Orphans is set by the hub: the estimated number of requests at the worker that belong
	// to no live process.
	Orphans uint16
	// Failing is set by the hub if the worker fails too many requests.
	Failing bool
}
