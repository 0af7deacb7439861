// Package memlimit bounds the memory that clients make a process hold. Each request is charged for its
// head, its body, what is decoded from it and its answer. If all charges together would exceed the limit,
// the request that has held most for longest without being whole gives way. Decisions depend on the
// arguments only.
package memlimit

import (
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a charge may use the reserve.
	smallBytes = 64 << 10
	// reserveDivisor sets the reserve for small charges: 1/reserveDivisor of the limit.
	reserveDivisor = 8
	// revokedDivisor bounds what revoked charges, which are about to be closed, may add: 1/revokedDivisor
	// of the limit.
	revokedDivisor = 4
	// minAge is added to the age of a charge, so that the size counts for new ones, too.
	minAge = 10 * time.Millisecond
)

// Account bounds the sum of all charges. It is safe for concurrent use.
type Account struct {
	limit int64

	mutex   sync.Mutex
	charges map[*Charge]struct{}
	// held is the sum of the charges that are not revoked, revoked the sum of the others.
	held, revoked int64
	stats         Stats
}

// Stats counts what an account did.
type Stats struct {
	// Held is the sum of all charges in bytes, Most the largest so far.
	Held, Most int64
	// Refused counts charges that were refused, Revoked those that were made to give way.
	Refused, Revoked uint64
}

// New returns an account of limit bytes; zero means no limit.
func New(limit int64) *Account {
	return &Account{limit: limit, charges: map[*Charge]struct{}{}}
}

// Limit returns the limit in bytes, zero for none.
func (a *Account) Limit() int64 { return a.limit }

// Stats returns the account's state.
func (a *Account) Stats() Stats {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	stats := a.stats
	stats.Held = a.held + a.revoked
	return stats
}

// Open returns a charge of zero bytes. While it is not kept, the account may call revoke, once and without
// holding a lock: the holder must then release what it holds and close the charge.
func (a *Account) Open(now time.Time, revoke func()) *Charge {
	return &Charge{account: a, revoke: revoke, since: now}
}

// Charge is what one request makes the process hold.
type Charge struct {
	account *Account
	revoke  func()

	// The account's mutex guards the fields below.
	bytes   int64
	since   time.Time
	kept    bool
	revoked bool
	closed  bool
}

// weight returns how much a charge of the given size should give way.
func (c *Charge) weight(now time.Time, bytes int64) float64 {
	return float64(bytes) * (now.Sub(c.since) + minAge).Seconds()
}

// Add adds bytes, which may be negative, and reports whether the account allows it. It may revoke other
// charges. After a refusal the charge is as before. A closed charge stays empty.
func (c *Charge) Add(now time.Time, bytes int64) bool {
	a := c.account
	a.mutex.Lock()
	if c.closed {
		a.mutex.Unlock()
		return true
	}
	victims, allowed := a.makeRoom(now, c, bytes)
	if allowed {
		c.bytes += bytes
		a.charges[c] = struct{}{}
		if c.revoked {
			a.revoked += bytes
		} else {
			a.held += bytes
		}
		a.stats.Most = max(a.stats.Most, a.held+a.revoked)
	} else {
		a.stats.Refused++
	}
	a.mutex.Unlock()
	for _, victim := range victims {
		victim.revoke()
	}
	return allowed
}

// makeRoom revokes charges until bytes can be added to c, and reports whether they can.
func (a *Account) makeRoom(now time.Time, c *Charge, bytes int64) (victims []*Charge, allowed bool) {
	if bytes <= 0 || a.limit == 0 {
		return nil, true
	}
	if c.revoked {
		return nil, false
	}
	limit, small := a.limit, c.bytes+bytes <= smallBytes
	if !small {
		limit -= a.limit / reserveDivisor
	}
	for a.held+bytes > limit {
		worst := a.worst(now)
		if worst == nil || worst == c || c.weight(now, c.bytes+bytes) >= worst.weight(now, worst.bytes) {
			return victims, false
		}
		worst.revoked = true
		a.held -= worst.bytes
		a.revoked += worst.bytes
		a.stats.Revoked++
		victims = append(victims, worst)
	}
	if !small && a.held+a.revoked+bytes > a.limit+a.limit/revokedDivisor {
		return victims, false
	}
	return victims, true
}

// worst returns the charge that should give way first, nil if all are kept.
func (a *Account) worst(now time.Time) *Charge {
	var worst *Charge
	for c := range a.charges {
		if c.kept || c.revoked || c.bytes <= 0 {
			continue
		}
		if worst == nil || c.weight(now, c.bytes) > worst.weight(now, worst.bytes) {
			worst = c
		}
	}
	return worst
}

// Keep excludes the charge from those that may be revoked: what it holds is in use.
func (c *Charge) Keep() {
	c.account.mutex.Lock()
	defer c.account.mutex.Unlock()
	c.kept = true
}

// Unkeep lets the charge be revoked again. Its age counts from now on.
func (c *Charge) Unkeep(now time.Time) {
	c.account.mutex.Lock()
	defer c.account.mutex.Unlock()
	if c.kept {
		c.kept, c.since = false, now
	}
}

// Revoked reports whether the charge was made to give way.
func (c *Charge) Revoked() bool {
	c.account.mutex.Lock()
	defer c.account.mutex.Unlock()
	return c.revoked
}

// Close releases all bytes of the charge. It may be called more than once.
func (c *Charge) Close() {
	a := c.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if c.revoked {
		a.revoked -= c.bytes
	} else {
		a.held -= c.bytes
	}
	c.bytes, c.closed = 0, true
	delete(a.charges, c)
}
