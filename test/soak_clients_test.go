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

// client sends requests to one edge after the other, over an open connection for as long as
// that lasts.
func (s *soak) client(number int, random *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 20 * time.Second}
	front := s.fronts()[number%3]
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
			s.once = append(s.once, id)
			s.mutex.Unlock()
		}
		if !s.send(client, front, path, id, 1+random.Intn(30)) {
			transport.CloseIdleConnections()
			front = s.fronts()[random.Intn(3)]
		}
	}
}

// send sends a request, checks the answer, and reports whether the edge served.
func (s *soak) send(client *http.Client, front, path, id string, events int) bool {
	s.mutex.Lock()
	life, sentAt := s.lives[front], time.Now()
	s.mutex.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[front], portFront)+path, strings.NewReader("p"))
	if err != nil {
		s.violate("%v", err)
		return false
	}
	// Without GetBody it is never sent a second time by itself.
	request.GetBody = nil
	request.Host = hostedHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", fmt.Sprintf("10,%d", events))
	request.Header.Set("Deadline-Ms", "15000")
	response, err := client.Do(request)
	if err != nil {
		if !strings.Contains(err.Error(), "refused") && !strings.Contains(err.Error(), "dial") {
			s.noAnswer(front, id, life, sentAt, err)
		}
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		s.mutex.Lock()
		s.refused = append(s.refused, id)
		s.counts["refused"]++
		s.mutex.Unlock()
		return false
	case response.StatusCode != http.StatusOK:
		s.violate("%s got %d: %s", id, response.StatusCode, body)
		return false
	case err != nil:
		s.noAnswer(front, id, life, sentAt, err)
		return false
	}
	s.count("answers whole")
	if want := wholeAnswer(id, events); string(body) != want {
		s.violate("%s got %q, want %q", id, body, want)
	}
	return true
}

func wholeAnswer(id string, count int) string { return events(id, 1, count) }

// noAnswer takes in that a request had no whole answer. That may be where its edge was
// killed; around a planned stop a few may cross the close.
func (s *soak) noAnswer(front, id string, life int, sentAt time.Time, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	killed := s.killed[front]
	switch {
	case killed.After(sentAt.Add(-time.Second)):
		s.counts["cut"]++
	case s.lives[front] != life || s.busy[front]:
		s.counts["crossed"]++
		s.crossed[fmt.Sprintf("%s/%d", front, max(life, s.lives[front]))]++
	default:
		s.violations = append(s.violations, fmt.Sprintf("%8.3f %s had no answer of %s, which nothing befell: %v", time.Since(s.began).Seconds(), id, front, err))
	}
}

// operator adds a route again and again, and looks whether edges go back.
func (s *soak) operator(stop <-chan struct{}) {
	version := 20
	newest := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		version++
		if s.put(fmt.Sprintf("core-%d", 1+version%3), s.configuration(version, soakRoutes(version))) == http.StatusOK {
			s.mutex.Lock()
			s.acked = version
			s.mutex.Unlock()
		}
		for _, front := range s.fronts() {
			s.lookBack(front, version, newest)
		}
	}
}

// soakRoutes are those of the last versions, with which the document stays short.
func soakRoutes(version int) string {
	var routes strings.Builder
	for added := max(21, version-30); added <= version; added++ {
		fmt.Fprintf(&routes, `,{"name":"added-%d","host":%q,"pathPrefix":"/added-%d/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":3}`, added, hostedHost, added, hostedService)
	}
	return routes.String()
}

// lookBack asks an edge for the newest route that it has served in this life, and for the
// newest there is.
func (s *soak) lookBack(front string, version int, newest map[string]int) {
	s.mutex.Lock()
	life := fmt.Sprintf("%s/%d", front, s.lives[front])
	s.mutex.Unlock()
	ask := func(route int) int {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/added-%d/a", s.address(s.machines[front], portFront), route), strings.NewReader("p"))
		if err != nil {
			return 0
		}
		request.Host = hostedHost
		request.Header.Set("Request-Id", fmt.Sprintf("c-%s-%d-%d", front, route, version))
		request.Header.Set("Token-Count", "1,1")
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	known := newest[life]
	if known > version-30 && known > 0 {
		status := ask(known)
		s.mutex.Lock()
		same := life == fmt.Sprintf("%s/%d", front, s.lives[front])
		s.mutex.Unlock()
		if status == http.StatusNotFound && same {
			s.violate("%s answers 404 on route %d, which it has served", front, known)
		}
		if status == http.StatusOK {
			s.count("routes in force")
		}
	}
	if ask(version) == http.StatusOK {
		newest[life] = version
	}
}

// batches hands jobs in and reads them.
func (s *soak) batches(stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		job, items := fmt.Sprintf("sj-%d", number), 1+number%5
		for try := range 20 {
			front := s.fronts()[(number+try)%3]
			status, _, _, err := s.callWithin(2*time.Second, http.MethodPost, s.address(s.machines[front], portFront), "/batch/a", map[string]string{"Request-Id": job}, jobDocument(job, items, 20))
			if err == nil && status == http.StatusAccepted {
				s.mutex.Lock()
				s.jobs[job] = &soakJob{items: items}
				s.mutex.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		for name := range s.accepted() {
			if number%3 == 0 {
				s.readJob(name, s.fronts()[number%3])
			}
		}
	}
}

// accepted returns the accepted jobs.
func (s *soak) accepted() map[string]*soakJob {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobs := make(map[string]*soakJob, len(s.jobs))
	for name, job := range s.jobs {
		jobs[name] = job
	}
	return jobs
}

// readJob reads a job and checks that what was read before has stayed. It reports whether
// all is there.
func (s *soak) readJob(name, front string) bool {
	status, _, body, err := s.callWithin(2*time.Second, http.MethodGet, s.address(s.machines[front], portFront), "/-/lots/"+name+"?sinceRev=0", map[string]string{"Wait-Ms": "0"}, "")
	if err != nil || status != http.StatusOK {
		if err == nil && status != http.StatusServiceUnavailable {
			s.violate("%s answers %d for %s, which was accepted", front, status, name)
		}
		return false
	}
	page, fault := parsePage(body)
	if fault != nil {
		s.violate("%s: %v", name, fault)
		return false
	}
	job := s.accepted()[name]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for position, row := range page.Results {
		if position < len(job.read) {
			s.counts["positions last"]++
			if job.read[position] != row.ID {
				s.violations = append(s.violations, fmt.Sprintf("position %d of %s was %s, is %s", position, name, job.read[position], row.ID))
			}
			continue
		}
		job.read = append(job.read, row.ID)
		var want []string
		for number := 1; number <= 20; number++ {
			want = append(want, emulator.HostedEvent(row.ID, number))
		}
		if row.State != "completed" || row.Message != strings.Join(want, "\n") {
			s.violations = append(s.violations, fmt.Sprintf("%s of %s is %s with %q", row.ID, name, row.State, row.Message))
		}
	}
	return len(page.Results) == job.items
}

// finishJobs waits until all accepted jobs are done, and checks that no item stands twice.
func (s *soak) finishJobs() {
	for name, job := range s.accepted() {
		eventually(s.t, "the results of "+name, func() bool { return s.readJob(name, s.fronts()[0]) })
		s.count("jobs done")
		seen := map[string]bool{}
		for _, item := range job.read {
			if seen[item] {
				s.violate("%s stands twice in %s", item, name)
			}
			seen[item] = true
		}
	}
}

// finishConfiguration checks that the newest acknowledged configuration is read back, or a
// later one that had no clear answer, and is in force at each edge.
func (s *soak) finishConfiguration() {
	eventually(s.t, "a read of the configuration", func() bool {
		status, _, body, err := s.callWithin(2*time.Second, http.MethodGet, s.address(s.machines["core-1"], portControl), "/-/config", nil, "")
		var version int
		if err != nil || status != http.StatusOK {
			return false
		}
		if _, err := fmt.Sscanf(body, `{"version":%d`, &version); err != nil || version < s.acked {
			s.violate("version %d is read, %d was acknowledged", version, s.acked)
		}
		return true
	})
	for _, front := range s.fronts() {
		eventually(s.t, "the newest route at "+front, func() bool {
			status, _, _, err := s.callWithin(2*time.Second, http.MethodPost, s.address(s.machines[front], portFront), fmt.Sprintf("/added-%d/a", s.acked), map[string]string{"Request-Id": "last-" + front, "Token-Count": "1,1"}, "p")
			return err == nil && status == http.StatusOK
		})
	}
}
