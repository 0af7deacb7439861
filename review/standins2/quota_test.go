package standins2

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	batchHost   = "batch.example"
	maxQueued   = 1_600_000
	quotaExcess = 0.1
	// A batch job has as many items as the pages allow, each of the size of the sheet's
	// class-tally: 227 + 1,200 tokens in and 211 events of 7 tokens out.
	jobItems   = 200
	itemTokens = 2_900
	burstJobs  = 6
)

// batchDocument returns a configuration with one batch route.
func batchDocument(version, maxQueuedTokens int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-batch","host":%q,"pathPrefix":"/batch/","routeKind":"batch","timeoutMs":15000,"goalMs":500,"runGoalMs":20000,"retainS":60,"priority":2,"service":%q,"maxAttempts":3,"maxQueuedTokens":%d,"sticky":true,"resumable":true,"gapGoalMs":300}],"services":[{"name":%q,"healthPath":"/healthz","maxConns":290,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacityTokens":108000,"kvTokenBytes":163840,"linkMbps":350000.0,"backups":true,"stride":7,"maxQueuedTokens":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, batchHost, service, maxQueuedTokens, service)
}

// batchJob is a batch job of a client.
type batchJob struct {
	id         string
	items      []string
	acceptedAt time.Time
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func newBatchJob(items int) *batchJob {
	job := &batchJob{id: randomID()}
	for range items {
		job.items = append(job.items, randomID())
	}
	return job
}

// document returns the body of the job; each item has so many events.
func (j *batchJob) document(events, tokens int) string {
	var items []map[string]any
	for _, id := range j.items {
		items = append(items, map[string]any{
			"id": id, "path": "/batch/" + id, "body": []byte("prompt of " + id), "tokens": tokens,
			"headers": map[string]string{"Model": "m", "Token-Count": "1427," + strconv.Itoa(events), "Prompt-Prefix": "9c2e41:227," + id[:8] + ":1200"},
		})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	return string(body)
}

// submit sends a batch job as a client does: after a 429, a 503, another 5xx or no answer it comes
// again, once, at another front.
func (f *fleet) submit(job *batchJob, first, events, tokens int) {
	fronts := f.of("front")
	body := job.document(events, tokens)
	for attempt := range 2 {
		front := fronts[(first+attempt)%len(fronts)]
		f.record.printf("client: sends batch job %s of %d items to %s", job.id, len(job.items), front.name)
		status, header, _ := call(http.MethodPost, f.front(front), "/batch/"+job.id[:6], batchHost, map[string]string{"Request-Id": job.id, "Content-Type": "application/json"}, body, 4*time.Second)
		now := time.Now()
		f.record.printf("client: batch job %s is answered %d", job.id, status)
		if status == http.StatusAccepted {
			job.acceptedAt = now
			return
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return
		}
		wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if err != nil || wait > 1 {
			wait = 1
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
}

// quotaCase: many batch jobs come at once on a route of which 1,600,000 tokens may wait.
func quotaCase(r *record, trouble bool) int {
	f, workers, err := deployment(r, 12, 12, 60*time.Millisecond, 10*time.Millisecond, batchDocument(7, maxQueued))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	// The groups of the stores have come to rest: they spread over the stores 15 s after the start.
	time.Sleep(25 * time.Second)
	var jobs []*batchJob
	var clients sync.WaitGroup
	for i := range burstJobs {
		job := newBatchJob(jobItems)
		jobs = append(jobs, job)
		if !trouble {
			f.submit(job, i, 211, itemTokens)
			time.Sleep(time.Second)
			continue
		}
		clients.Go(func() { f.submit(job, i, 211, itemTokens) })
	}
	clients.Wait()
	return judgeQuota(r, jobs, workers)
}

// judgeQuota checks the rule QUOTA at every 202.
func judgeQuota(r *record, jobs []*batchJob, workers []*worker) int {
	finished := map[string]time.Time{}
	for _, w := range workers {
		w.mutex.Lock()
		for _, run := range w.runs {
			if run.outcome == "whole" && (finished[run.id].IsZero() || run.ended.Before(finished[run.id])) {
				finished[run.id] = run.ended
			}
		}
		w.mutex.Unlock()
	}
	code, accepted := held, 0
	for _, job := range jobs {
		if job.acceptedAt.IsZero() {
			continue
		}
		accepted++
		waiting := 0
		for _, other := range jobs {
			if other.acceptedAt.IsZero() || other.acceptedAt.After(job.acceptedAt) {
				continue
			}
			for _, item := range other.items {
				if at := finished[item]; at.IsZero() || at.After(job.acceptedAt) {
					waiting += itemTokens
				}
			}
		}
		r.printf("at the 202 of %s (%.3f s): %d tokens wait, %.1f%% of the %d that may", job.id, r.at(job.acceptedAt), waiting, 100*float64(waiting)/maxQueued, maxQueued)
		if float64(waiting) > maxQueued*(1+quotaExcess) {
			code = broken
		}
	}
	r.printf("%d of %d batch jobs were accepted", accepted, len(jobs))
	if accepted == 0 {
		return notRun
	}
	return code
}
