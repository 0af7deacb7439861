package batchplan

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

func TestClassify(t *testing.T) {
	const due, run = 20 * time.Second, 5 * time.Second
	cases := []struct {
		age  time.Duration
		due  time.Duration
		want Urgency
	}{
		{0, due, Patient},
		{9 * time.Second, due, Patient},
		{11 * time.Second, due, Urgent},
		{16 * time.Second, due, Urgent},
		{17 * time.Second, due, Overdue},
		{30 * time.Second, due, Overdue},
		{30 * time.Second, 0, Patient},
	}
	for _, test := range cases {
		if got := Classify(test.age, test.due, run); got != test.want {
			t.Errorf("age %s of %s: %d, want %d", test.age, test.due, got, test.want)
		}
	}
}

// TestOrder checks that jobs that can be in time come in the order of their due
// times before all others, and that the order of yielding is its reverse within
// each kind.
func TestOrder(t *testing.T) {
	proptest.Run(t, "order", func(random *rand.Rand) error {
		jobs := make([]Job, 1+random.Intn(20))
		for i := range jobs {
			jobs[i] = Job{Order: uint64(i), Urgency: Urgency(random.Intn(3))}
		}
		random.Shuffle(len(jobs), func(a, b int) { jobs[a], jobs[b] = jobs[b], jobs[a] })
		Sort(jobs)
		for i := 1; i < len(jobs); i++ {
			before, after := jobs[i-1], jobs[i]
			if before.Urgency == Overdue && after.Urgency != Overdue {
				return errors.Newf("%+v stands before %+v", before, after)
			}
			if (before.Urgency == Overdue) == (after.Urgency == Overdue) && before.Order > after.Order {
				return errors.Newf("%+v stands before %+v", before, after)
			}
			if YieldsBefore(before, after) {
				return errors.Newf("%+v runs and yields before %+v", before, after)
			}
		}
		return nil
	})
}

func TestRunTime(t *testing.T) {
	var run RunTime
	for i := 0; i < 200; i++ {
		run.Add(7 * time.Second)
	}
	if off := run.Mean() - 7*time.Second; off < -time.Second/10 || off > time.Second/10 {
		t.Errorf("mean %s", run.Mean())
	}
}
