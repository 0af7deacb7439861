package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// hollowWorker answers its owner's orders and polls for load reports, and runs no requests.
type hollowWorker struct {
	name  string
	model string
	mutex sync.Mutex
	epoch uint64
}

// ServeHTTP implements http.Handler.
func (h *hollowWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch request.URL.Path {
	case engine.PathOrders:
		var order engine.Order
		if err := json.NewDecoder(request.Body).Decode(&order); err != nil || order.Epoch < h.epoch {
			http.Error(writer, "stale", http.StatusConflict)
			return
		}
		h.epoch = order.Epoch
		h.write(writer, struct{}{})
	case engine.PathLoad:
		h.write(writer, engine.Load{
			Worker:      h.name,
			Incarnation: 1,
			Epoch:       h.epoch,
			// Without slots, the owner assigns no work.
			Slots:        0,
			BlockTokens:  engine.BlockTokens,
			Models:       []string{h.model},
			MeasuredAtMS: time.Now().UnixMilli(),
		})
	case engine.PathEvents:
		h.write(writer, engine.CacheEvents{})
	default:
		http.NotFound(writer, request)
	}
}

func (h *hollowWorker) write(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the owner has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}

// ServeWorkers serves hollow workers, each on its own loopback port, until ctx ends. It returns
// their rows for the platform's worker list.
func ServeWorkers(ctx context.Context, count int, model string) ([]workerlist.Worker, error) {
	var rows []workerlist.Worker
	for number := 0; number < count; number++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("hollow-worker-%d", number)
		server := &http.Server{Handler: &hollowWorker{name: name, model: model}, ReadHeaderTimeout: time.Minute}
		go func() {
			// Serve returns when the server is closed.
			_ = server.Serve(listener)
		}()
		context.AfterFunc(ctx, func() { server.Close() })
		rows = append(rows, workerlist.Worker{ID: name, Address: listener.Addr().String(), Zone: fmt.Sprintf("zone-%c", 'a'+number%zones), Incarnation: 1})
	}
	return rows, nil
}
