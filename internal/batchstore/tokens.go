package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// ledGroupTokens returns the tokens that wait in the groups that this process leads.
func (s *Store) ledGroupTokens() []wire.GroupTokens {
	var led []wire.GroupTokens
	for _, g := range s.groups {
		row := wire.GroupTokens{Group: uint8(g.number)}
		err := g.read(func(storage.Reader) error {
			g.machine.EachAccount(func(account string, tokens int64) {
				row.Routes = append(row.Routes, wire.RouteTokens{Route: loadshare.Hash(account), Tokens: tokens})
			})
			return nil
		})
		if err == nil {
			led = append(led, row)
		}
	}
	return led
}

// applyGroupTokens applies reports of the tokens that wait in groups.
func (l *loads) applyGroupTokens(now time.Time, groups []wire.GroupTokens) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i := range groups {
		waiting := make(map[uint32]int64, len(groups[i].Routes))
		for _, row := range groups[i].Routes {
			waiting[row.Route] = row.Tokens
		}
		at := now.Add(-time.Duration(groups[i].AgeMillis) * time.Millisecond)
		l.quotas.Update(at, int(groups[i].Group), waiting)
	}
}

// groupTokens returns the known waiting tokens of all groups, with their age.
func (l *loads) groupTokens(now time.Time) []wire.GroupTokens {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var rows []wire.GroupTokens
	l.quotas.Each(func(number int, at time.Time, waiting map[uint32]int64) {
		row := wire.GroupTokens{Group: uint8(number), AgeMillis: uint32(max(now.Sub(at), 0).Milliseconds())}
		for route, tokens := range waiting {
			row.Routes = append(row.Routes, wire.RouteTokens{Route: route, Tokens: tokens})
		}
		rows = append(rows, row)
	})
	return rows
}

// groupLimit returns how many tokens may wait on an account in one group. limit is the limit for
// all groups together.
func (s *Store) groupLimit(now time.Time, number int, account string, limit int64) int64 {
	s.loads.setGroupCount(s.groupCount())
	s.loads.applyGroupTokens(now, s.ledGroupTokens())
	s.loads.mutex.Lock()
	defer s.loads.mutex.Unlock()
	return s.loads.quotas.Limit(now, number, loadshare.Hash(account), limit)
}
