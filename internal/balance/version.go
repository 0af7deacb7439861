package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/incarnation"
)

// fitsVersion reports whether the worker has the version that the request needs.
func (r *Request) fitsVersion(w *worker) bool { return r.Version == "" || w.version == r.Version }

// changeCount changes the number of workers of a version.
func changeCount(counts *map[incarnation.Version]int, version incarnation.Version, change int) {
	if *counts == nil {
		*counts = map[incarnation.Version]int{}
	}
	(*counts)[version] += change
	if (*counts)[version] == 0 {
		delete(*counts, version)
	}
}

// updateSoleVersion updates the only version of the pool's listed workers after a change of the list.
func (p *pool) updateSoleVersion(now time.Time) {
	sole := incarnation.Version("")
	if len(p.listedVersions) == 1 {
		for version := range p.listedVersions {
			sole = version
		}
	}
	if sole != p.soleVersion {
		p.soleVersion, p.soleSince = sole, now
	}
}

// RestartSoleVersions counts anew for how long the listed workers of each pool have had one version.
func (t *Table) RestartSoleVersions(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, p := range t.pools {
		p.soleSince = now
	}
}

// SoleVersion returns the version of all listed workers of the pool and since when they all have it.
// The version is empty if there are several or an unknown one.
func (t *Table) SoleVersion(pool string) (version incarnation.Version, since time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pools[pool]
	if p == nil {
		return "", time.Time{}
	}
	return p.soleVersion, p.soleSince
}

// VersionListed reports whether the list has a worker of the version in the pool that is not leaving. It
// may be unusable for a while because another worker answered at its address, as after a restart.
func (t *Table) VersionListed(pool string, version incarnation.Version) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p := t.pools[pool]; p == nil || p.listedVersions[version] == 0 {
		return false
	}
	for _, w := range t.workers {
		if w.listed.Pool == pool && w.version == version && !w.listed.Leaving {
			return true
		}
	}
	return false
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
