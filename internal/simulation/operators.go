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

// operator changes the configuration again and again: each change is based on
// the revision read before it, and is sent again when its answer is lost. Two
// operators race with equal numbers.
func (w *World) operator(number int, until time.Time) {
	p := w.newCaller(fmt.Sprintf("operator%d", number))
	count := 0
	var again func()
	again = func() {
		if w.clock.now.After(until) {
			return
		}
		count++
		w.change(p, fmt.Sprintf("change-%d-%d", number, count), 1+(number*7+count)%10)
		w.timer(p, time.Duration((0.5+w.workload.Float64())*float64(w.profile.ChangeInterval)), again)
	}
	w.timer(p, w.profile.WarmUp/2, again)
}

// firstChange makes the tenant that everything is asked for.
func (w *World) firstChange() {
	w.change(w.newCaller("operator0"), "change-first", 5)
}

func (w *World) change(p *process, id string, rank int) {
	w.changeThen(p, id, rank, func() {})
}

// changeThen makes a change and goes on once it is accepted or refused.
func (w *World) changeThen(p *process, id string, rank int, then func()) {
	viaControl(w, p, func(c *controlProcess, answer reply[uint64]) {
		var revision uint64
		err := c.readMeta(func(*coordination.MetaLeader) error {
			revision = c.meta.Revision()
			return nil
		})
		answer(revision, err)
	}, func(revision uint64, err error) {
		if err != nil {
			w.timer(p, resendDelay, func() { w.changeThen(p, id, rank, then) })
			return
		}
		request := &wire.ApplyRequest{Operator: p.name, ChangeID: id, ExpectedRevision: revision, Documents: tenantDocuments(rank)}
		w.ledger.changeSent(w, request)
		w.sendChange(p, request, 0, then)
	})
}

func (w *World) sendChange(p *process, request *wire.ApplyRequest, tries int, then func()) {
	viaControl(w, p, func(c *controlProcess, answer reply[*wire.MetaResult]) {
		command := *request
		c.proposeMeta(&wire.MetaCommand{Apply: &command}, answer)
	}, func(result *wire.MetaResult, err error) {
		switch {
		case err == nil:
			w.ledger.changeAccepted(w, request, result.Apply)
			then()
			if tries == 0 && w.workload.IntN(4) == 0 {
				// As if the answer had been lost.
				w.timer(p, resendDelay, func() { w.sendChange(p, request, tries+1, func() {}) })
			}
		case failure.Is(err, failure.Conflict):
			w.ledger.changeRefused(request)
			then()
		case w.clock.now.Before(w.settleEnd):
			w.timer(p, resendDelay, func() { w.sendChange(p, request, tries+1, then) })
		}
	})
}

// viaControl is an operator's call: it goes through any living gateway, which
// needs no configuration of its own for it.
func viaControl[Answer any](w *World, p *process, serve func(*controlProcess, reply[Answer]), done reply[Answer]) {
	g := w.gateways[w.workload.IntN(len(w.gateways))]
	call(w, p, &g.process, submitTimeout, func(answer reply[Answer]) {
		callControl(w, &g.process, g.session.leaders, controlclient.MetaGroup, submitTimeout, serve, answer)
	}, done)
}

// tenantDocuments returns a template and a tenant whose rank tells changes apart.
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
