package standins

import (
	"encoding/json"
	"fmt"
	"time"
)

// Names of the deployment.
const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
)

// route is a route as the operator writes it.
type route map[string]any

func batchRoute(name, prefix string) route {
	return route{"name": name, "host": hostName, "pathPrefix": prefix, "routeKind": "batch", "timeoutMs": 30000, "goalMs": 400, "runGoalMs": 20000, "retainS": 60.0, "priority": 2, "service": serviceName, "maxAttempts": 3, "maxQueuedTokens": 1600000, "sticky": true, "resumable": true, "gapGoalMs": 250}
}

func streamRoute(name, prefix string) route {
	return route{"name": name, "host": hostName, "pathPrefix": prefix, "routeKind": "streaming", "timeoutMs": 5000, "goalMs": 200, "priority": 0, "service": serviceName, "maxAttempts": 2, "sticky": true, "resumable": true, "gapGoalMs": 250}
}

func configuration(version int, routes ...route) []byte {
	document, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": workerSlots, "kvCapacityTokens": 153000, "kvTokenBytes": 163840, "linkMbps": 260000.0, "backups": true, "stride": tokensPerEvent, "maxQueuedTokens": 64, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return document
}

// putConfiguration sends a configuration to the control machines in turn, from firstControl on, until one
// acknowledges it.
func (f *fleet) putConfiguration(version int, timeout time.Duration, routes ...route) error {
	body := configuration(version, routes...)
	f.record.write("operator sends configuration %d: %s", version, body)
	until := time.Now().Add(timeout)
	for turn := 0; time.Now().Before(until); turn++ {
		control := f.class("core")[(f.firstControl+turn)%len(f.class("core"))]
		status, answer, err := call("PUT", fmt.Sprintf("%s:%d", control.ip, portControl), "", "/-/config", map[string]string{"Content-Type": "application/json"}, body, time.Second)
		f.record.write("operator: %s answers %d %s %v", control.name, status, answer, err)
		if status == 200 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged", version)
}

// awaitReady waits until the front machines are ready for clients.
func (f *fleet) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		ready := 0
		for _, m := range f.class("front") {
			if status, _, err := call("GET", fmt.Sprintf("%s:%d", m.ip, portReady), "", "/-/ready", nil, nil, time.Second); err == nil && status == 200 {
				ready++
			}
		}
		if ready == len(f.class("front")) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the front machines are not ready")
}
