package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// operator changes the configuration at random intervals. Each change is based on the revision that
// was read before it, and is sent again if its answer is lost. Two operators may base changes on
// the same revision.
func (w *World) operator(number int, until time.Time) {
	p := w.newCaller(fmt.Sprintf("operator%d", number))
	count := 0
	var changeNext func()
	changeNext = func() {
		if w.clock.now.After(until) {
			return
		}
		count++
		w.applyChange(p, fmt.Sprintf("change-%d-%d", number, count), 1+(number*7+count)%10)
		w.timer(p, time.Duration((0.5+w.workload.Float64())*float64(w.profile.ChangeInterval)), changeNext)
	}
	w.timer(p, w.profile.WarmUp/2, changeNext)
}

// createTenant creates the tenant that all online requests use.
func (w *World) createTenant() {
	w.applyChange(w.newCaller("operator0"), "change-first", 5)
}

// applyChange makes one change of the configuration.
func (w *World) applyChange(p *process, id string, rank int) {
	w.applyChangeThen(p, id, rank, func() {})
}

// applyChangeThen makes a change and calls then once it is accepted or rejected.
func (w *World) applyChangeThen(p *process, id string, rank int, then func()) {
	viaControl(w, p, func(c *controlProcess, answer reply[uint64]) {
		var revision uint64
		err := c.readMeta(func(*coordination.MetaLeader) error {
			revision = c.meta.Revision()
			return nil
		})
		answer(revision, err)
	}, func(revision uint64, err error) {
		if err != nil {
			w.timer(p, resendDelay, func() { w.applyChangeThen(p, id, rank, then) })
			return
		}
		request := &wire.ApplyRequest{Operator: p.name, ChangeID: id, ExpectedRevision: revision, Documents: tenantDocuments(rank)}
		w.ledger.changeSent(w, request)
		w.sendChange(p, request, 0, then)
	})
}

func (w *World) sendChange(p *process, request *wire.ApplyRequest, attempts int, then func()) {
	viaControl(w, p, func(c *controlProcess, answer reply[*wire.MetaResult]) {
		command := *request
		c.proposeMeta(&wire.MetaCommand{Apply: &command}, answer)
	}, func(result *wire.MetaResult, err error) {
		switch {
		case err == nil:
			w.ledger.changeAccepted(w, request, result.Apply)
			then()
			if attempts == 0 && w.workload.IntN(4) == 0 {
				// Sends the change again as if the answer had been lost.
				w.timer(p, resendDelay, func() { w.sendChange(p, request, attempts+1, func() {}) })
			}
		case failure.Is(err, failure.Conflict):
			w.ledger.changeRejected(request)
			then()
		case w.clock.now.Before(w.recoveryDeadline):
			w.timer(p, resendDelay, func() { w.sendChange(p, request, attempts+1, then) })
		}
	})
}

// viaControl sends an operator's call through a random gateway to the leader of the meta group. The
// gateway needs no valid configuration to pass the call on.
func viaControl[Answer any](w *World, p *process, serve func(*controlProcess, reply[Answer]), done reply[Answer]) {
	g := w.gateways[w.workload.IntN(len(w.gateways))]
	call(w, p, &g.process, submitTimeout, func(answer reply[Answer]) {
		callControl(w, &g.process, g.session.leaders, controlclient.MetaGroup, submitTimeout, serve, answer)
	}, done)
}

// tenantDocuments returns a template and a tenant. Changes differ in the rank.
func tenantDocuments(rank int) []wire.Document {
	template := metastate.Template{Parameters: map[string]metastate.Parameter{
		"models":      {Default: json.RawMessage(`["` + simulatedModel + `"]`)},
		"online_rank": {Default: json.RawMessage("5")},
	}}
	tenant := metastate.Tenant{
		Template: "school",
		Values:   map[string]json.RawMessage{"online_rank": json.RawMessage(fmt.Sprint(rank))},
		Keys:     []metastate.Key{{ID: "first", SHA256: strings.Repeat("0f", 32)}},
	}
	return []wire.Document{
		{Kind: metastate.KindTemplate, Name: "school", Body: encodeJSON(template)},
		{Kind: metastate.KindTenant, Name: simulatedTenant, Body: encodeJSON(tenant)},
	}
}

func encodeJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
