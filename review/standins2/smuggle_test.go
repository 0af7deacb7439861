package standins2

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// smuggledID is the id of the request that stands inside an item's id. No client sends a request or
// an item of this id.
const smuggledID = "00000000deadbeef"

// smuggleCase: a client hands in a batch job in which the id of one item has line breaks, behind which
// another request stands.
func smuggleCase(r *record, trouble bool) int {
	f, workers, err := deployment(r, 12, 12, 60*time.Millisecond, 10*time.Millisecond, batchDocument(7, maxQueued))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	time.Sleep(10 * time.Second)
	job := newBatchJob(4)
	if trouble {
		job.items[2] += "\r\nContent-Length: 0\r\n\r\nPOST /batch/inside HTTP/1.1\r\nHost: " + batchHost + "\r\nModel: m\r\nToken-Count: 4000,400\r\nRequest-Id: " + smuggledID + "\r\nContent-Length: 0\r\n\r\n"
	}
	var items []map[string]any
	for _, id := range job.items {
		items = append(items, map[string]any{"id": id, "path": "/batch/" + id[:16], "body": []byte("prompt"), "tokens": 1500, "headers": map[string]string{"Model": "m", "Token-Count": "1427,40", "Prompt-Prefix": "9c2e41:227," + id[:8] + ":1200"}})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	front := f.of("front")[0]
	status, _, text := call(http.MethodPost, f.front(front), "/batch/"+job.id[:6], batchHost, map[string]string{"Request-Id": job.id, "Content-Type": "application/json"}, string(body), 4*time.Second)
	r.printf("client: batch job %s of %d items, answered %d %s", job.id, len(items), status, strings.TrimSpace(text))
	time.Sleep(5 * time.Second)
	_, _, page := call(http.MethodGet, f.front(front), "/-/lots/"+job.id+"?sinceRev=0", batchHost, nil, "", 3*time.Second)
	r.printf("client: reads %.600s", page)
	sent := map[string]bool{}
	for _, id := range job.items {
		sent[id] = true
	}
	runs, unasked := 0, 0
	for _, w := range workers {
		w.mutex.Lock()
		for _, current := range w.runs {
			runs++
			if sent[current.id] {
				continue
			}
			if unasked++; unasked <= 5 {
				r.printf("UNASKED: worker %s runs request %q at %.3f s, which no client sent", w.id, current.id, r.at(current.began))
			}
		}
		w.mutex.Unlock()
	}
	r.printf("judge: %d runs, %d of requests whose id no client sent", runs, unasked)
	if unasked > 0 {
		return broken
	}
	if status != http.StatusAccepted && !trouble || runs == 0 && !trouble {
		return notRun
	}
	return held
}
