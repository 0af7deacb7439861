package standins

import (
	"encoding/json"
	"fmt"
	"time"
)

// job is a batch job of a client.
type job struct {
	id     string
	prefix string
	items  []string
	events int
}

func newJob(id, prefix string, items, events int) *job {
	j := &job{id: id, prefix: prefix, events: events}
	for i := range items {
		j.items = append(j.items, fmt.Sprintf("%s%04x", id, i))
	}
	return j
}

func (j *job) body() []byte {
	var items []any
	for i, id := range j.items {
		tokens := fmt.Sprintf("100,%d", j.events*tokensPerEvent)
		items = append(items, map[string]any{
			"id": id, "path": j.prefix + "3/" + id, "body": []byte("draft " + id), "tokens": 100 + j.events*tokensPerEvent,
			"headers": map[string]string{"Model": "m", "Token-Count": tokens, "Prompt-Prefix": fmt.Sprintf("9c2e41:60,%x:40", 0xd0700000+i+int(j.id[len(j.id)-1])<<12)},
		})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	return body
}

// submit sends the job to the front machines in turn until it is accepted.
func (f *fleet) submit(j *job, timeout time.Duration) error {
	return f.submitTo(j, nil, timeout)
}

// submitTo sends the job to one front machine, or to all in turn if it is nil, until it is accepted.
func (f *fleet) submitTo(j *job, only *machine, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	fronts := f.class("front")
	if only != nil {
		fronts = []*machine{only}
	}
	for turn := 0; time.Now().Before(until); turn++ {
		front := fronts[turn%len(fronts)]
		status, answer, err := call("POST", fmt.Sprintf("%s:%d", front.ip, portFront), hostName, j.prefix+j.id, map[string]string{"Request-Id": j.id, "Content-Type": "application/json", "Deadline-Ms": "4000"}, j.body(), 4*time.Second)
		f.record.write("client sends batch job %s of %d items to %s: %d %s %v", j.id, len(j.items), front.name, status, answer, err)
		if status == 202 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("batch job %s was not accepted", j.id)
}

// result is a listed result.
type result struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Message string `json:"message"`
}

// page is the answer to a read of results.
type page struct {
	Total     int      `json:"total"`
	NextToken int      `json:"nextToken"`
	Results   []result `json:"results"`
}

// readAll reads the results of a job until all are listed or the time is up.
func (f *fleet) readAll(j *job, timeout time.Duration) []result {
	until := time.Now().Add(timeout)
	fronts := f.class("front")
	var results []result
	for turn := 0; time.Now().Before(until) && len(results) < len(j.items); turn++ {
		front := fronts[turn%len(fronts)]
		status, answer, err := call("GET", fmt.Sprintf("%s:%d", front.ip, portFront), hostName, fmt.Sprintf("/-/lots/%s?sinceRev=%d", j.id, len(results)), map[string]string{"Wait-Ms": "500"}, nil, 3*time.Second)
		var read page
		if err != nil || status != 200 || json.Unmarshal(answer, &read) != nil {
			f.record.write("client reads %s from %d at %s: %d %s %v", j.id, len(results), front.name, status, answer, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, row := range read.Results {
			f.record.write("client reads %s position %d: %s %s, text of %d bytes", j.id, len(results), row.ID, row.State, len(row.Message))
			results = append(results, row)
		}
		if len(read.Results) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return results
}
