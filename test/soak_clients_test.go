package test

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

// runClient sends requests to one edge over a kept-alive connection. When that edge does not serve,
// it changes to a random edge.
func (s *soak) runClient(number int, random *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 20 * time.Second}
	edge := s.edges()[number%len(s.edges())]
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int63n(int64(50 * time.Millisecond)))):
		}
		id := fmt.Sprintf("r-%d-%d", number, sent)
		path := "/stream/a"
		if random.Intn(3) == 0 {
			path = "/once/a"
			s.mutex.Lock()
			s.atMostOnce = append(s.atMostOnce, id)
			s.mutex.Unlock()
		}
		if !s.send(client, edge, path, id, 1+random.Intn(30)) {
			transport.CloseIdleConnections()
			edge = s.edges()[random.Intn(len(s.edges()))]
		}
	}
}

// send sends a request, checks the answer and reports whether the edge served it.
func (s *soak) send(client *http.Client, edge, path, id string, events int) bool {
	s.mutex.Lock()
	incarnation, sentAt := s.incarnations[edge], time.Now()
	s.mutex.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[edge], portCallers)+path, strings.NewReader("p"))
	if err != nil {
		s.recordViolation("%v", err)
		return false
	}
	// Without GetBody the transport never resends the request on its own.
	request.GetBody = nil
	request.Host = hostedHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", fmt.Sprintf("10,%d", events))
	request.Header.Set("Deadline-Ms", "15000")
	response, err := client.Do(request)
	if err != nil {
		if !strings.Contains(err.Error(), "refused") && !strings.Contains(err.Error(), "dial") {
			s.recordNoAnswer(edge, id, incarnation, sentAt, err)
		}
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		s.mutex.Lock()
		s.rejected = append(s.rejected, id)
		s.counts["refused"]++
		s.mutex.Unlock()
		return false
	case response.StatusCode != http.StatusOK:
		s.recordViolation("%s got %d: %s", id, response.StatusCode, body)
		return false
	case err != nil:
		s.recordNoAnswer(edge, id, incarnation, sentAt, err)
		return false
	}
	s.count("complete answers")
	if want := expectedAnswer(id, events); string(body) != want {
		s.recordViolation("%s got %q, want %q", id, body, want)
	}
	return true
}

func expectedAnswer(id string, count int) string { return events(id, 1, count) }

// recordNoAnswer records that a request got no complete answer. That is allowed if its edge was
// killed after the request was sent, or at most a second before. Around a planned stop it is allowed
// for a few requests that were sent while the edge closed the connection.
func (s *soak) recordNoAnswer(edge, id string, incarnation int, sentAt time.Time, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	killed := s.killed[edge]
	switch {
	case killed.After(sentAt.Add(-time.Second)):
		s.counts["cut"]++
	case s.crowds != nil:
		// A crowd may be at this edge.
		s.counts["closed beside crowds"]++
	case s.incarnations[edge] != incarnation || s.faulty[edge]:
		s.counts["crossed"]++
		s.sentDuringClose[fmt.Sprintf("%s/%d", edge, max(incarnation, s.incarnations[edge]))]++
	default:
		s.violations = append(s.violations, fmt.Sprintf("%8.3f %s got no complete answer from %s, which had no fault: %v", time.Since(s.startedAt).Seconds(), id, edge, err))
	}
}

// runOperator adds a route every 500 ms and checks that no edge goes back to an older configuration.
func (s *soak) runOperator(stop <-chan struct{}) {
	version := 20
	newestServed := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		version++
		if s.putConfiguration(fmt.Sprintf("core-%d", 1+version%3), s.configuration(version, s.routesOf(version))) == http.StatusOK {
			s.mutex.Lock()
			s.ackedVersion = version
			s.mutex.Unlock()
		}
		for _, edge := range s.edges() {
			s.checkRoutes(edge, version, newestServed)
		}
	}
}

// soakRoutes returns the routes that the last versions added. Older ones are left out to keep the
// document short.
func soakRoutes(version int) string {
	var routes strings.Builder
	for added := max(21, version-30); added <= version; added++ {
		fmt.Fprintf(&routes, `,{"name":"added-%d","host":%q,"pathPrefix":"/added-%d/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":3}`, added, hostedHost, added, hostedService)
	}
	return routes.String()
}

// checkRoutes calls the newest route that an edge has served since its last start, which must still
// be served, and the newest route of all.
func (s *soak) checkRoutes(edge string, version int, newestServed map[string]int) {
	s.mutex.Lock()
	incarnation := fmt.Sprintf("%s/%d", edge, s.incarnations[edge])
	s.mutex.Unlock()
	call := func(route int) int {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/added-%d/a", s.address(s.machines[edge], portCallers), route), strings.NewReader("p"))
		if err != nil {
			return 0
		}
		request.Host = hostedHost
		request.Header.Set("Request-Id", fmt.Sprintf("c-%s-%d-%d", edge, route, version))
		request.Header.Set("Token-Count", "1,1")
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	served := newestServed[incarnation]
	if served > version-30 && served > 0 {
		status := call(served)
		s.mutex.Lock()
		same := incarnation == fmt.Sprintf("%s/%d", edge, s.incarnations[edge])
		s.mutex.Unlock()
		if status == http.StatusNotFound && same {
			s.recordViolation("%s answers 404 for route %d, which it served before", edge, served)
		}
		if status == http.StatusOK {
			s.count("routes in force")
		}
	}
	if call(version) == http.StatusOK {
		newestServed[incarnation] = version
	}
}

// runBatches submits jobs and reads their results.
func (s *soak) runBatches(stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		job, items := fmt.Sprintf("sj-%d", number), 1+number%5
		for try := range 20 {
			edge := s.edges()[(number+try)%len(s.edges())]
			status, _, _, err := s.callWithin(2*time.Second, http.MethodPost, s.address(s.machines[edge], portCallers), "/batch/a", map[string]string{"Request-Id": job}, jobDocument(job, items, 20))
			if err == nil && status == http.StatusAccepted {
				s.mutex.Lock()
				s.jobs[job] = &soakJob{items: items}
				s.mutex.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		for name := range s.acceptedJobs() {
			if number%3 == 0 {
				s.readJob(name, s.edges()[number%len(s.edges())])
			}
		}
	}
}

// acceptedJobs returns a copy of the map of accepted jobs.
func (s *soak) acceptedJobs() map[string]*soakJob {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobs := make(map[string]*soakJob, len(s.jobs))
	for name, job := range s.jobs {
		jobs[name] = job
	}
	return jobs
}

// readPage reads the results of an accepted job, nil if the edge can't serve them now.
func (s *soak) readPage(name, edge string) *hostedPage {
	status, _, body, err := s.callWithin(2*time.Second, http.MethodGet, s.address(s.machines[edge], portCallers), "/-/lots/"+name+"?sinceRev=0", map[string]string{"Wait-Ms": "0"}, "")
	if err != nil || status != http.StatusOK {
		if err == nil && status != http.StatusServiceUnavailable {
			s.recordViolation("%s answers %d for the accepted job %s", edge, status, name)
		}
		return nil
	}
	page, err := parsePage(body)
	if err != nil {
		s.recordViolation("%s: %v", name, err)
		return nil
	}
	return page
}

// readJob reads a job's results and checks them. Results that were read before must have kept their
// positions. readJob reports whether the results are complete.
func (s *soak) readJob(name, edge string) bool {
	page := s.readPage(name, edge)
	if page == nil {
		return false
	}
	job := s.acceptedJobs()[name]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for position, row := range page.Results {
		if position < len(job.results) {
			s.counts["stable positions"]++
			if job.results[position] != row.ID {
				s.violations = append(s.violations, fmt.Sprintf("position %d of %s changed from %s to %s", position, name, job.results[position], row.ID))
			}
			continue
		}
		job.results = append(job.results, row.ID)
		if row.State != "completed" || !isItemText(row.ID, row.Message, 20) {
			s.violations = append(s.violations, fmt.Sprintf("%s of %s is %s with %q", row.ID, name, row.State, row.Message))
		}
	}
	return len(page.Results) == job.items
}

// isItemText reports whether a text holds all events of an item, from workers of one version.
func isItemText(id, text string, count int) bool {
	for version := range versionsIn(text) {
		var want []string
		for number := 1; number <= count; number++ {
			want = append(want, emulator.HostedEvent(version, id, number))
		}
		if text == strings.Join(want, "\n") {
			return true
		}
	}
	return false
}

// checkJobs waits until all accepted jobs are complete, and checks that no item has two results.
func (s *soak) checkJobs() {
	for name, job := range s.acceptedJobs() {
		eventually(s.t, "the results of "+name, func() bool { return s.readJob(name, s.edges()[0]) })
		s.count("completed jobs")
		seen := map[string]bool{}
		for _, item := range job.results {
			if seen[item] {
				s.recordViolation("item %s has two results in job %s", item, name)
			}
			seen[item] = true
		}
	}
}

// checkConfiguration checks that the configuration that is read is the newest acknowledged one, or
// a later one whose acknowledgement was lost, and that it is in force at each edge.
func (s *soak) checkConfiguration() {
	eventually(s.t, "a read of the configuration", func() bool {
		status, _, body, err := s.callWithin(2*time.Second, http.MethodGet, s.address(s.machines["core-1"], portControl), "/-/config", nil, "")
		var version int
		if err != nil || status != http.StatusOK {
			return false
		}
		if _, err := fmt.Sscanf(body, `{"version":%d`, &version); err != nil || version < s.ackedVersion {
			s.recordViolation("the configuration has version %d, but %d was acknowledged", version, s.ackedVersion)
		}
		return true
	})
	for _, edge := range s.edges() {
		eventually(s.t, "the newest route at "+edge, func() bool {
			status, _, _, err := s.callWithin(2*time.Second, http.MethodPost, s.address(s.machines[edge], portCallers), fmt.Sprintf("/added-%d/a", s.ackedVersion), map[string]string{"Request-Id": "last-" + edge, "Token-Count": "1,1"}, "p")
			return err == nil && status == http.StatusOK
		})
	}
}
