package emulator

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// PathWeights is the weight store's path; the name of the weights follows.
const PathWeights = "/v1/weights/"

const weightChunkBytes = 64 << 10

// Platform emulates the worker list, which lags behind changes, and the weight store, whose total
// rate is limited.
type Platform struct {
	lag time.Duration
	// weightRate is the limit in bytes per second over all readers, 0 for none. weightBytes is
	// the size of one set of weights.
	weightRate  int
	weightBytes int
	mutex       sync.Mutex
	history     []platformVersion
	weightMutex sync.Mutex
}

type platformVersion struct {
	at      time.Time
	workers []workerlist.Worker
}

// NewPlatform returns a platform whose list shows each change after lag.
func NewPlatform(lag time.Duration, weightBytesPerSecond, weightBytes int) *Platform {
	return &Platform{lag: lag, weightRate: weightBytesPerSecond, weightBytes: weightBytes}
}

const maxHistory = 1024

// SetWorkers changes the list. It becomes visible after the lag.
func (p *Platform) SetWorkers(workers []workerlist.Worker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.history = append(p.history, platformVersion{at: time.Now(), workers: append([]workerlist.Worker(nil), workers...)})
	if len(p.history) > maxHistory {
		p.history = p.history[1:]
	}
}

// WorkersAt returns the list that a caller sees at now. The first version has no lag.
func (p *Platform) WorkersAt(now time.Time) []workerlist.Worker {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := len(p.history) - 1; i > 0; i-- {
		if now.Sub(p.history[i].at) >= p.lag {
			return p.history[i].workers
		}
	}
	if len(p.history) == 0 {
		return []workerlist.Worker{}
	}
	return p.history[0].workers
}

// Register adds the platform's handlers to a router.
func (p *Platform) Register(router rpc.Router) {
	router.HandleFunc(workerlist.PathWorkers, p.handleWorkers)
	router.HandleFunc(PathWeights+"{name}", p.handleWeights)
}

// handleWorkers returns the list (GET) or replaces it (PUT, which only the emulator supports).
func (p *Platform) handleWorkers(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPut {
		var list workerlist.List
		if readJSON(writer, request, &list) {
			p.SetWorkers(list.Workers)
			writeJSON(writer, struct{}{})
		}
		return
	}
	writeJSON(writer, workerlist.List{Workers: p.WorkersAt(time.Now())})
}

// handleWeights streams weights. All readers share the rate limit.
func (p *Platform) handleWeights(writer http.ResponseWriter, request *http.Request) {
	if strings.TrimPrefix(request.URL.Path, PathWeights) == "" {
		http.NotFound(writer, request)
		return
	}
	chunk := make([]byte, weightChunkBytes)
	for sent := 0; sent < p.weightBytes; sent += len(chunk) {
		p.waitForRate(len(chunk))
		if request.Context().Err() != nil {
			return
		}
		if _, err := writer.Write(chunk[:min(len(chunk), p.weightBytes-sent)]); err != nil {
			return
		}
	}
}

func (p *Platform) waitForRate(bytes int) {
	if p.weightRate <= 0 {
		return
	}
	p.weightMutex.Lock()
	defer p.weightMutex.Unlock()
	time.Sleep(time.Duration(bytes) * time.Second / time.Duration(p.weightRate))
}
