package wire

//msgp:ignore LoadReport

// LoadReport tells how many requests a process has at each worker. It travels as a
// datagram, so it is packed without names: a LoadBase, whose length was released and stays,
// and behind it a LoadMore, which readers of GenerationFirst pass over.
type LoadReport struct {
	// Source is the hash of the sender's name.
	Source  uint32
	Workers []WorkerLoad
	// Hub is set by a process that is not the hub: the address of the one that is.
	Hub string
	// Sources is how many processes tell their loads: all of them in the top hub's
	// answers, those of the zone in a zone's sums.
	Sources uint16
	// Waiting is set by stores: how many items could start.
	Waiting uint32
	// Groups holds the tokens that wait in store groups. A store tells of those
	// that it leads; the hub tells stores of all, with the age of what it knows.
	Groups []GroupTokens
	// Sums is set where a zone's hub tells the top hub the sums over its zone.
	Sums bool
	// Left is set in the last report to a hub: the sender reports elsewhere now.
	Left bool
	// Quiet is set in reports that are not to be answered.
	Quiet bool
	// Zone is set in reports of processes that serve callers: the zone whose workers
	// they are told of each time.
	Zone string
	// Part is set in answers that leave workers of other zones out.
	Part bool
	// Tokens are the questions of a process that serves callers for tokens of tenants,
	// and Verdicts the answers.
	Tokens   []TokenQuestion
	Verdicts []TokenVerdict
	// Tenants is what a zone's hub and the top hub tell each other of the tenants'
	// limits, nil where the message says nothing of them.
	Tenants *TenantNews
	// Choosing is set in reports of processes that are about to choose a worker: in a large
	// zone only these are told of any. Asked holds the short names of workers that they
	// want to know of.
	Choosing bool
	Asked    []uint32
	// Drawn is set in answers that say nothing of workers that they don't name.
	Drawn bool
	// Rest is set in the top hub's answers: how many online requests the workers that are
	// left out, because they have no load, answer in ten seconds.
	Rest uint32
	// Proofs are set in reports to hubs: what requests showed that were sent to avoided
	// workers to learn whether these are well again.
	Proofs []WorkerProof
	// Repeatable is set in reports of processes that are about to choose for a request that
	// may run more than once, and Probes in answers to these: the short names of avoided
	// workers to one of which it may go.
	Repeatable bool
	Probes     []uint32
	// Claims are what requests of a process that serves callers claim of scarce room, and
	// Standings the answers to those whose tenants are over their shares.
	Claims    []RoomClaim
	Standings []RoomStanding
	// Begun and Short count the requests of such a process since its start: those that a
	// worker began to answer, and those that found no worker with room.
	Begun uint32
	Short uint32
	// First is set by the reader where the sender is of GenerationFirst.
	First bool
}

// LoadBase is what each generation reads of a LoadReport.
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

// LoadMore is what came to LoadReport after GenerationFirst. It has names, so that it may
// grow, and holds only what is set.
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
}

// MarshalMsg implements msgp.Marshaler.
func (r *LoadReport) MarshalMsg(before []byte) ([]byte, error) {
	base := LoadBase{
		Source: r.Source, Workers: r.Workers, Hub: r.Hub, Sources: r.Sources, Waiting: r.Waiting, Groups: r.Groups,
		Sums: r.Sums, Left: r.Left, Quiet: r.Quiet, Zone: r.Zone, Part: r.Part,
	}
	more := LoadMore{
		Tokens: r.Tokens, Verdicts: r.Verdicts, Tenants: r.Tenants,
		Choosing: r.Choosing, Asked: r.Asked, Drawn: r.Drawn, Rest: r.Rest,
		Proofs: r.Proofs, Repeatable: r.Repeatable, Probes: r.Probes,
		Claims: r.Claims, Standings: r.Standings, Begun: r.Begun, Short: r.Short,
	}
	encoded, err := base.MarshalMsg(before)
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
	first := len(rest) == 0
	if !first {
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
		First: first,
	}
	return rest, nil
}

// WorkerProof is how many requests an avoided worker answered well that were sent there to
// learn whether it is well again, since the last report. Those that it failed count as any.
//
//msgp:tuple WorkerProof
type WorkerProof struct {
	Worker uint32
	Well   uint16
}

// TokenQuestion asks for a token of a tenant's limit, or gives it back.
//
//msgp:tuple TokenQuestion
type TokenQuestion struct {
	// Ticket names the question; one that is sent again takes no second token.
	Ticket uint64
	// Tenant is the hash of the tenant's name.
	Tenant uint32
	// Back is set where the token is given back: its request did not run.
	Back bool
}

// TokenVerdict is the answer to a TokenQuestion.
//
//msgp:tuple TokenVerdict
type TokenVerdict struct {
	Ticket  uint64
	Granted bool
	// RetryMillis is after which time to come back where it is not granted.
	RetryMillis uint32
	// Level is how many tokens were left, by news of the age AgeMillis.
	Level     int32
	AgeMillis uint32
}

// RoomClaim is what a request claims of scarce room.
//
//msgp:tuple RoomClaim
type RoomClaim struct {
	// Ticket names the request; one that claims again is counted once.
	Ticket uint64
	// Tenant is the hash of the tenant's name, zero for callers that are no tenant.
	Tenant uint32
	Rank   int32
}

// RoomRateParts is how the rates of a RoomStanding travel: one request a second is so many.
const RoomRateParts = 10

// RoomStanding is the answer to a RoomClaim of a tenant that is over its share. Where none
// comes the tenant is within it, or the hub is of an older build.
//
//msgp:tuple RoomStanding
type RoomStanding struct {
	Ticket uint64
	// Asked and Share are the tenant's in the zone, Room is what all have there, in tenths
	// of a request a second; AgeMillis is how old they are.
	Asked     uint32
	Share     uint32
	Room      uint32
	AgeMillis uint32
}

// TenantNews is ratelimit.News on the wire.
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

// TenantRow is ratelimit.Row on the wire.
//
//msgp:tuple TenantRow
type TenantRow struct {
	Tenant uint32
	Count  int64
	// Level is in hundredths of a token, Share and Refills in thousandths.
	Level   int32
	Share   uint16
	Refills uint16
	Joining bool
	Counted bool
}

// GroupTokens is how many tokens wait in a store group.
//
//msgp:tuple GroupTokens
type GroupTokens struct {
	Group     uint8
	AgeMillis uint32
	Routes    []RouteTokens
}

// RouteTokens is how many tokens of one owner wait on a route.
//
//msgp:tuple RouteTokens
type RouteTokens struct {
	// Route is the hash of its name, scoped by the owner's.
	Route  uint32
	Tokens int64
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
	// Told is set in reports to the hub: one more than the requests that the
	// worker said it has, where it has said so since the last report.
	Told uint16
	// Answered and Failed are set in reports to the hub: how many requests the
	// worker has answered since the last one, and how many it failed or was
	// silent at.
	Answered uint16
	Failed   uint16
	// Steps and StepMicros are set in reports to the hub: how many times between
	// events the sender has seen at the worker since the last one, and their sum.
	Steps      uint16
	StepMicros uint32
	// Step is set by the hub: the worker's mean time between events, in
	// microseconds; zero means unknown.
	Step uint32
	// Rate is set by the hub: how many online requests the worker answers in ten
	// seconds.
	Rate uint16
	// Start and Stop are set by the hub in answers to stores: how many items the
	// store may start at the worker until its next report, and how many it is to
	// stop there. Start is also set in answers to zones' hubs, at an avoided worker that items
	// don't probe: one online request may start there, to learn whether it is well.
	Start uint16
	Stop  uint16
	// Orphans is set by the hub: how many requests the worker seems to have
	// that no living process answers for.
	Orphans uint16
	// Failing is set by the hub where the worker fails too many requests.
	Failing bool
}
