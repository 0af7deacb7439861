package memlimit

import (
	"math/rand"
	"testing"
	"time"
)

const testLimit = 32 << 20

// client sends a body in virtual time: bytesPerStep at each step until size, and holds it for a while
// once it is whole. A client that doesn't behave never completes its body.
type client struct {
	charge                   *Charge
	size, sent, bytesPerStep int64
	misbehaves, revoked      bool
	steps                    int
}

// simulation has ordinary clients and a crowd at one account.
type simulation struct {
	t       *testing.T
	account *Account
	random  *rand.Rand
	now     time.Time
	clients []*client

	servedOrdinary, refusedOrdinary, refusedCrowd int
}

const (
	step = 5 * time.Millisecond
	// heldSteps is how long a whole request holds its body.
	heldSteps = 10
)

func (s *simulation) arrive(misbehaves bool, size, bytesPerStep int64) {
	c := &client{size: size, bytesPerStep: bytesPerStep, misbehaves: misbehaves}
	c.charge = s.account.Open(s.now, func() { c.revoked = true })
	s.clients = append(s.clients, c)
}

// run lets every client take a step.
func (s *simulation) run() {
	s.now = s.now.Add(step)
	left := s.clients[:0]
	for _, c := range s.clients {
		if s.advance(c) {
			left = append(left, c)
			continue
		}
		c.charge.Close()
	}
	s.clients = left
	if stats := s.account.Stats(); stats.Held > testLimit+testLimit/revokedDivisor {
		s.t.Fatalf("%d bytes are held", stats.Held)
	}
}

// advance reports whether the client is still there.
func (s *simulation) advance(c *client) bool {
	end := c.size
	if c.misbehaves {
		end--
	}
	count := min(c.bytesPerStep, end-c.sent)
	if c.revoked || count > 0 && !c.charge.Add(s.now, count) {
		if c.misbehaves {
			s.refusedCrowd++
		} else {
			s.refusedOrdinary++
		}
		return false
	}
	c.sent += count
	if c.sent < c.size {
		return true
	}
	c.charge.Keep()
	if c.steps++; c.steps < heldSteps {
		return true
	}
	s.servedOrdinary++
	return false
}

// TestCrowdGivesWayFirst checks that ordinary requests are served beside a crowd of bodies that never
// end, whatever their size and speed, and that the limit holds.
func TestCrowdGivesWayFirst(t *testing.T) {
	for name, crowd := range map[string]struct{ size, bytesPerStep int64 }{
		"large and fast": {4 << 20, 1 << 20},
		"large and slow": {4 << 20, 16 << 10},
		"small":          {32 << 10, 32 << 10},
	} {
		s := &simulation{t: t, account: New(testLimit), random: rand.New(rand.NewSource(1)), now: time.Unix(0, 0)}
		for range 2000 {
			for range 3 {
				s.arrive(true, crowd.size, crowd.bytesPerStep)
			}
			if s.random.Intn(2) == 0 {
				s.arrive(false, 1+s.random.Int63n(8<<10), 8<<10)
			}
			if s.random.Intn(20) == 0 {
				s.arrive(false, 1<<20, 256<<10)
			}
			s.run()
		}
		t.Logf("%s: served %d ordinary requests, refused %d; refused %d of the crowd", name, s.servedOrdinary, s.refusedOrdinary, s.refusedCrowd)
		if s.refusedOrdinary*100 > s.servedOrdinary || s.servedOrdinary < 900 {
			t.Errorf("%s: %d ordinary requests are refused, %d served", name, s.refusedOrdinary, s.servedOrdinary)
		}
		if s.refusedCrowd == 0 {
			t.Errorf("%s: the crowd is no crowd", name)
		}
	}
}

// TestLargestRequestIsServedInCalm checks that one slow request that fills the account is not refused.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	a := New(testLimit)
	c := a.Open(time.Unix(0, 0), func() { t.Error("it is revoked") })
	const part = 1 << 20
	for n := int64(0); n < testLimit*7/8; n += part {
		if !c.Add(time.Unix(n/part, 0), part) {
			t.Fatalf("it is refused at %d bytes", n)
		}
	}
}

// TestKeptChargesStay checks that charges in use are never revoked, and that small charges have room
// beside large ones in use.
func TestKeptChargesStay(t *testing.T) {
	a, now := New(testLimit), time.Unix(0, 0)
	for held := int64(0); ; held += 1 << 20 {
		c := a.Open(now, func() { t.Error("a kept charge is revoked") })
		if !c.Add(now, 1<<20) {
			break
		}
		c.Keep()
	}
	small := a.Open(now, nil)
	if !small.Add(now, smallBytes) {
		t.Error("a small charge is refused beside large ones in use")
	}
}

// TestAnswerThatIsNotTakenGivesWay checks that a charge may be revoked once it is not kept any more, and
// that closing it frees all of it.
func TestAnswerThatIsNotTakenGivesWay(t *testing.T) {
	a, now, revoked := New(testLimit), time.Unix(0, 0), false
	c := a.Open(now, func() { revoked = true })
	c.Keep()
	if !c.Add(now, testLimit/2) {
		t.Fatal("refused")
	}
	c.Unkeep(now)
	other := a.Open(now.Add(time.Second), nil)
	if !other.Add(now.Add(time.Second), testLimit/2) || !revoked || !c.Revoked() {
		t.Errorf("revoked: %t", revoked)
	}
	if c.Add(now, 1) {
		t.Error("a revoked charge grows")
	}
	c.Close()
	c.Close()
	other.Close()
	if held := a.Stats().Held; held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}
