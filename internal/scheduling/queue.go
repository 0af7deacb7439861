package scheduling

import (
	"sort"
	"time"
)

// queue holds waiting attempts by descending rank, then in order of arrival.
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

// filter removes the attempts for which keep returns false.
func (q *queue) filter(keep func(*Attempt) bool) {
	kept := make([]*Attempt, 0, len(q.attempts))
	for _, attempt := range q.attempts {
		if keep(attempt) {
			kept = append(kept, attempt)
		}
	}
	q.attempts = kept
}

// remove removes the attempt with the given ID and reports whether it was queued.
func (q *queue) remove(id string) bool {
	for index, attempt := range q.attempts {
		if attempt.ID == id {
			q.attempts = append(q.attempts[:index], q.attempts[index+1:]...)
			return true
		}
	}
	return false
}

// removeExpired removes and returns the attempts whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []*Attempt {
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
