package simulation

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"
)

// Sweep runs each profile with each seed from FirstSeed to LastSeed.
type Sweep struct {
	FirstSeed, LastSeed uint64
	Profiles            []Profile
	FaultKinds          []string
	Mutation            Mutation
	// StopAtFailure ends the sweep at the first violation.
	StopAtFailure bool
	// Parallel is the number of concurrent runs; zero means one per processor.
	Parallel int
}

// Summary holds the totals of a sweep and its failed runs.
type Summary struct {
	Seeds    int
	Failed   []*Result
	Injected map[string]int
	Totals   Result
	Profiles []string
}

// Run runs the sweep. Results are added up in the order of seeds, so that a sweep always has the
// same summary.
func (s Sweep) Run() *Summary {
	jobs := make(chan int)
	results := make([]*Result, int(s.LastSeed-s.FirstSeed+1)*len(s.Profiles))
	var stop sync.Once
	stopped := make(chan struct{})
	var workers sync.WaitGroup
	parallel := s.Parallel
	if parallel == 0 {
		parallel = runtime.NumCPU()
	}
	for worker := 0; worker < parallel; worker++ {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for index := range jobs {
				result := Run(s.options(index))
				results[index] = result
				if s.StopAtFailure && len(result.Violations) > 0 {
					stop.Do(func() { close(stopped) })
				}
			}
		}()
	}
	for index := range results {
		select {
		case jobs <- index:
			continue
		case <-stopped:
		}
		break
	}
	close(jobs)
	workers.Wait()
	return summarize(s, results)
}

func (s Sweep) options(index int) Options {
	return Options{
		Profile:    s.Profiles[index%len(s.Profiles)],
		Seed:       s.FirstSeed + uint64(index/len(s.Profiles)),
		FaultKinds: s.FaultKinds,
		Mutation:   s.Mutation,
	}
}

func summarize(s Sweep, results []*Result) *Summary {
	summary := &Summary{Injected: map[string]int{}}
	for _, profile := range s.Profiles {
		summary.Profiles = append(summary.Profiles, profile.Name)
	}
	for _, result := range results {
		if result == nil {
			continue
		}
		summary.Seeds++
		if len(result.Violations) > 0 {
			summary.Failed = append(summary.Failed, result)
		}
		for kind, count := range result.Injected {
			summary.Injected[kind] += count
		}
		summary.Totals.add(result)
	}
	return summary
}

func (r *Result) add(other *Result) {
	r.Requests += other.Requests
	r.Completed += other.Completed
	r.Rejected += other.Rejected
	r.Jobs += other.Jobs
	r.Items += other.Items
	r.Changes += other.Changes
	r.Preemptions += other.Preemptions
	r.Resumes += other.Resumes
	r.VirtualTime += other.VirtualTime
	r.PeakControlCalls = max(r.PeakControlCalls, other.PeakControlCalls)
	r.LeaderFailover = append(r.LeaderFailover, other.LeaderFailover...)
	r.WorkerReassignment = append(r.WorkerReassignment, other.WorkerReassignment...)
	r.InForce = append(r.InForce, other.InForce...)
	r.InForceUnderFault = append(r.InForceUnderFault, other.InForceUnderFault...)
}

// Print writes the summary as text.
func (s *Summary) Print(out io.Writer) {
	t := &s.Totals
	fmt.Fprintf(out, "seeds=%d profiles=%s failed=%d virtual=%s\n", s.Seeds, strings.Join(s.Profiles, ","), len(s.Failed), t.VirtualTime.Round(time.Second))
	fmt.Fprintf(out, "requests=%d whole=%d refused=%d jobs=%d results_read=%d changes=%d preemptions=%d resumes=%d\n", t.Requests, t.Completed, t.Rejected, t.Jobs, t.Items, t.Changes, t.Preemptions, t.Resumes)
	fmt.Fprintf(out, "leader change:        %s\n", spread(t.LeaderFailover))
	fmt.Fprintf(out, "workers owned again:  %s\n", spread(t.WorkerReassignment))
	fmt.Fprintf(out, "in force, no fault:   %s\n", spread(t.InForce))
	fmt.Fprintf(out, "in force, with fault: %s\n", spread(t.InForceUnderFault))
	fmt.Fprintf(out, "calls to control:     most in a second %d\n", t.PeakControlCalls)
	for _, kind := range sortedKeys(s.Injected) {
		fmt.Fprintf(out, "fault %-26s injected %d\n", kind, s.Injected[kind])
	}
}

// spread returns the number, median, 99th percentile and maximum of durations.
func spread(durations []time.Duration) string {
	if len(durations) == 0 {
		return "n=0"
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	at := func(share float64) time.Duration {
		return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("n=%d median=%s p99=%s max=%s", len(sorted), at(0.5), at(0.99), at(1))
}

// Shrink removes faults from the schedule of a failing run, one at a time, as long as a promise is
// still broken. It returns the result of the run with the shortest schedule found.
func Shrink(options Options, failing *Result) *Result {
	best := failing
	for index := 0; index < len(best.Schedule); {
		options.Schedule = append(append([]Fault{}, best.Schedule[:index]...), best.Schedule[index+1:]...)
		if smaller := Run(options); len(smaller.Violations) > 0 {
			best = smaller
			continue
		}
		index++
	}
	return best
}

// Print writes a failing result with its schedule.
func (r *Result) Print(out io.Writer) {
	for _, violation := range r.Violations {
		fmt.Fprintf(out, "  violation of %q at %s: %s\n", violation.Promise, violation.At.Round(time.Millisecond), violation.Text)
	}
	for _, fault := range r.Schedule {
		fmt.Fprintf(out, "  fault %s\n", fault)
	}
}
