package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// start starts an attempt, or returns why it is rejected.
func (e *Engine) start(request *engine.GenerateRequest) (*attempt, *engine.ErrorBody) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if rejection := e.rejectionLocked(request); rejection != nil {
		e.counters.Refused++
		return nil, rejection
	}
	sequence := NewSequence(request)
	started := newAttempt(sequence, time.Now())
	e.model.Add(sequence)
	e.attempts[request.AttemptID] = started
	e.startedIDs[request.AttemptID] = true
	e.counters.Started++
	logging.Info(e.options.Logger, "attempt_started", "attempt", request.AttemptID, "epoch", request.Epoch)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return started, nil
}

func (e *Engine) rejectionLocked(request *engine.GenerateRequest) *engine.ErrorBody {
	switch {
	case request.AttemptID == "" || request.MaxTokens <= 0 || request.ContinueTokens < 0:
		return newError(engine.CodeInvalid, "attempt_id and max_tokens must be set")
	case request.Epoch < e.epoch:
		rejection := newError(engine.CodeStaleEpoch, fmt.Sprintf("epoch %d is below %d", request.Epoch, e.epoch))
		rejection.Epoch = e.epoch
		return rejection
	case e.leavingLocked():
		return newError(engine.CodeLeaving, "the engine is leaving")
	case !e.models[request.Model]:
		return newError(engine.CodeUnknownModel, fmt.Sprintf("model %q is not loaded", request.Model))
	case request.Adapter != "" && !e.adapters[request.Adapter]:
		return newError(engine.CodeUnknownModel, fmt.Sprintf("adapter %q is not loaded", request.Adapter))
	case e.startedIDs[request.AttemptID]:
		return newError(engine.CodeDuplicateAttempt, "the attempt was started before")
	case e.model.Waiting() >= e.options.Capacity.Slots:
		return newError(engine.CodeSaturated, "too many attempts wait")
	}
	return nil
}

func newError(code, message string) *engine.ErrorBody {
	return &engine.ErrorBody{Code: code, Message: message}
}

// cancel stops an attempt if it is still running.
func (e *Engine) cancel(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.model.Remove(id) {
		e.counters.Cancelled++
	}
	if found := e.attempts[id]; found != nil {
		found.stop()
	}
}

// executeOrder executes an order unless its epoch is stale. Loading reads from the weight store and
// finishes some time after the order was accepted.
func (e *Engine) executeOrder(request *engine.Order) *engine.ErrorBody {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if request.Epoch < e.epoch {
		rejection := newError(engine.CodeStaleEpoch, fmt.Sprintf("epoch %d is below %d", request.Epoch, e.epoch))
		rejection.Epoch = e.epoch
		return rejection
	}
	e.epoch = request.Epoch
	switch request.Kind {
	case engine.OrderOwn:
	case engine.OrderLeave:
		e.leaving = true
	case engine.OrderSetRole:
		e.role = request.Name
	case engine.OrderUnloadModel:
		delete(e.models, request.Name)
	case engine.OrderLoadModel:
		go e.load(request.Name, e.models)
	case engine.OrderLoadAdapter:
		go e.load(request.Name, e.adapters)
	default:
		return newError(engine.CodeInvalid, fmt.Sprintf("%q is not an order", request.Kind))
	}
	return nil
}

const weightTimeout = 10 * time.Minute

// load reads the weights from the store and then adds the name to the set. If the read fails,
// the name is not added.
func (e *Engine) load(name string, into map[string]bool) {
	if e.options.WeightStore != "" {
		if err := fetchWeights(e.options.WeightStore, name); err != nil {
			return
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	into[name] = true
}

func fetchWeights(store, name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), weightTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store+PathWeights+name, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the weight store answered with status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func sortedSet(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
