package fleetwatch

import "github.com/sedgemast/sedgemast/internal/upstream"

// WorkerState implements upstream.Directory by the newest snapshot.
func (w *Watcher) WorkerState(id string) upstream.WorkerState {
	snapshot := w.Current()
	row, found := snapshot.Workers.Get(id)
	if !found || row.Leaving {
		return upstream.WorkerState{}
	}
	state := upstream.WorkerState{Ready: true, ListReadAt: snapshot.ListReadAt}
	if pool := snapshot.Table.Pool(row.Pool); pool != nil {
		state.HealthPath = pool.HealthPath
	}
	return state
}
