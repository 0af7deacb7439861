package scheduling

import (
	"sort"
	"time"
)

// queue holds waiting attempts: higher ranks first, then in order of arrival.
type queue struct {
	attempts []*Attempt
}

func (q *queue) len() int { return len(q.attempts) }

func (q *queue) push(attempt *Attempt) {
	index := sort.Search(len(q.attempts), func(i int) bool { return q.attempts[i].Rank < attempt.Rank })
	q.attempts = append(q.attempts, nil)
	copy(q.attempts[index+1:], q.attempts[index:])
	q.attempts[index] = attempt
}

// filter keeps the attempts for which keep returns true.
func (q *queue) filter(keep func(*Attempt) bool) {
	kept := make([]*Attempt, 0, len(q.attempts))
	for _, attempt := range q.attempts {
		if keep(attempt) {
			kept = append(kept, attempt)
		}
	}
	q.attempts = kept
}

// remove takes out the attempt with the id and reports whether it was there.
func (q *queue) remove(id string) bool {
	for index, attempt := range q.attempts {
		if attempt.ID == id {
			q.attempts = append(q.attempts[:index], q.attempts[index+1:]...)
			return true
		}
	}
	return false
}

// takeExpired removes and returns the attempts whose deadline has passed.
func (q *queue) takeExpired(now time.Time) []*Attempt {
	var expired []*Attempt
	for _, attempt := range q.attempts {
		if now.After(attempt.Deadline) {
			expired = append(expired, attempt)
		}
	}
	if len(expired) > 0 {
		q.filter(func(attempt *Attempt) bool { return !now.After(attempt.Deadline) })
	}
	return expired
}
