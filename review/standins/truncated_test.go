package standins

import (
	"fmt"
	"time"
)

// checkTexts counts the completed results whose text is not the item's whole output.
func (f *fleet) checkTexts(j *job, results []result) int {
	broken := 0
	for position, row := range results {
		whole := wholeText(row.ID, j.events)
		if row.State == "completed" && row.Message != whole {
			f.record.write("BROKEN: position %d of %s: item %s is completed with %d of %d bytes, which end with %q", position, j.id, row.ID, len(row.Message), len(whole), row.Message[max(0, len(row.Message)-30):])
			broken++
		}
	}
	return broken
}

const (
	// unframedEvery: one answer of so many has neither a length nor chunks.
	unframedEvery = 16
	// truncatedWorkers is the number of workers; one at a time crashes.
	truncatedWorkers = 6
	crashes          = 12
	crashGap         = time.Second
	// restartDelay is the time from a crash to the start of the next incarnation at the address.
	restartDelay = 30 * time.Millisecond
)

// truncated checks that no item is completed with a part of its output, and that no client gets a
// part of an answer as a complete one.
func truncated(f *fleet, trouble bool) int {
	f.unframed = unframedEvery
	for i := range truncatedWorkers {
		f.must(f.addWorker(i))
	}
	f.must(f.start())
	f.must(f.putConfiguration(1, 20*time.Second, streamRoute("r-1", "/lohu930/"), batchRoute("r-2", "/pule252/")))
	f.must(f.awaitReady(20 * time.Second))
	f.must(f.awaitRoute("/lohu930/", 10*time.Second))
	return f.truncatedItems(trouble) + f.truncatedStreams(trouble)
}

// truncatedItems plays the first part: workers crash one after the other while they run items.
func (f *fleet) truncatedItems(trouble bool) int {
	var jobs []*job
	for i := range 8 {
		j := newJob(fmt.Sprintf("%x41e09b52d6a3f8%d", 7+i, i), "/pule252/", 40, 60)
		f.must(f.submit(j, 20*time.Second))
		jobs = append(jobs, j)
	}
	time.Sleep(1500 * time.Millisecond)
	for i := 0; trouble && i < crashes; i++ {
		number := i % truncatedWorkers
		f.killWorker(f.workerAt(number))
		time.Sleep(restartDelay)
		f.must(f.addWorker(number))
		time.Sleep(crashGap)
	}
	broken := 0
	for _, j := range jobs {
		results := f.readAll(j, 60*time.Second)
		f.record.write("%d of %d items of %s listed", len(results), len(j.items), j.id)
		broken += f.checkTexts(j, results)
	}
	return broken
}
