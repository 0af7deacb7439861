package routing

// AvailableFilter drops endpoints that are leaving, draining or unresponsive.
type AvailableFilter struct{}

// Name implements Filter.
func (AvailableFilter) Name() string { return "available" }

// Keep implements Filter.
func (AvailableFilter) Keep(_ *Request, candidate *Candidate) bool { return !candidate.Unavailable }

// ModelFilter drops endpoints without the request's model or adapter. An
// endpoint that lists no adapters is assumed to load them on demand.
type ModelFilter struct{}

// Name implements Filter.
func (ModelFilter) Name() string { return "model" }

// Keep implements Filter.
func (ModelFilter) Keep(request *Request, candidate *Candidate) bool {
	if !candidate.Models[request.Model] {
		return false
	}
	return request.Adapter == "" || candidate.Adapters == nil || candidate.Adapters[request.Adapter]
}

// VersionFilter drops workers of another software version than the request needs.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "version" }

// Keep implements Filter.
func (VersionFilter) Keep(request *Request, candidate *Candidate) bool {
	return request.Version == "" || candidate.Version == request.Version
}

// ExcludeFilter drops endpoints that earlier attempts of the request used.
type ExcludeFilter struct{}

// Name implements Filter.
func (ExcludeFilter) Name() string { return "exclude" }

// Keep implements Filter.
func (ExcludeFilter) Keep(request *Request, candidate *Candidate) bool {
	return !request.Exclude[candidate.Name]
}
