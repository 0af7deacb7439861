package balance

import "github.com/sedgemast/sedgemast/internal/incarnation"

// fitsVersion reports whether the worker has the version that the request needs.
func (r *Request) fitsVersion(w *worker) bool { return r.Version == "" || w.version == r.Version }

// countVersion changes the number of usable workers of a version.
func (p *pool) countVersion(version incarnation.Version, change int) {
	if p.usableVersions == nil {
		p.usableVersions = map[incarnation.Version]int{}
	}
	p.usableVersions[version] += change
	if p.usableVersions[version] == 0 {
		delete(p.usableVersions, version)
	}
}

// VersionUsable reports whether the pool has a usable worker of the request's version that the
// request does not exclude, other than the given one. Its cost does not depend on the size of the
// pool.
func (t *Table) VersionUsable(request *Request, except string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pools[request.Pool]
	if p == nil {
		return false
	}
	count := p.usableVersions[request.Version]
	if t.countsAsUsable(request, except) && !request.Exclude[except] {
		count--
	}
	for id := range request.Exclude {
		if t.countsAsUsable(request, id) {
			count--
		}
	}
	return count > 0
}

// countsAsUsable reports whether the worker is counted in its pool's usableVersions under the
// request's version.
func (t *Table) countsAsUsable(request *Request, id string) bool {
	w := t.workers[id]
	return w != nil && w.inGroup && w.listed.Pool == request.Pool && w.version == request.Version
}
