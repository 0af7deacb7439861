package wire

// Methods of the coordinators that other processes call.
const (
	// MethodWatch polls for changes since the state that the caller has, see WatchRequest.
	MethodWatch = "fleet_watch"
	// MethodQuarantine reports runs and requests trials, see QuarantineReport.
	MethodQuarantine = "fleet_quarantine"
)
