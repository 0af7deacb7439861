package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpanswer"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/origin"
)

const (
	// A stream has streamEvents events, one each streamEventInterval. A worker breaks off after an
	// event with a probability of 1/workerBreaks.
	streamEvents        = 16
	streamEventInterval = 80 * time.Millisecond
	workerBreaks        = 30
	// streamInterval is the time between two new streams.
	streamInterval = 60 * time.Millisecond
	// callerPatience is how long a caller waits for an event before it takes the stream up elsewhere,
	// callerTime how long it waits for the whole stream.
	callerPatience = time.Second
	callerTime     = 5 * time.Second
	// listLag is the age of the platform's list. endDelay is how long workers run after they have left
	// the list.
	listLag  = 800 * time.Millisecond
	endDelay = time.Second
	// maxListGap is the longest time between two answers of the coordinators in which no version can
	// have come and gone.
	maxListGap = 2 * time.Second
	// lookupRounds and lookupInterval are how often an edge asks the hubs for an origin.
	lookupRounds   = 4
	lookupInterval = 40 * time.Millisecond
)

// simStream is a stream as its caller sees it.
type simStream struct {
	key     origin.Key
	begunAt time.Time
	// versions are the versions of the workers that sent the events.
	versions []incarnation.Version
	// serving is the number of the request that serves the stream now.
	serving int
	eventAt time.Time
	ended   bool
}

// streamKnowledge is what an edge knows of worker versions and origins.
type streamKnowledge struct {
	// listed are the versions in the list of workers, which the leader confirmed at listedAt or later. They have
	// been the same since soleSince.
	listed    []incarnation.Version
	listedAt  time.Time
	soleSince time.Time
	origins   *origin.Registry
}

// streamCounts counts what became of streams that callers took up.
type streamCounts struct{ begun, takenUp, wentOn, unknown, gone int }

// startStreams starts the callers of streams.
func (w *World) startStreams() {
	w.every(streamInterval, func() bool {
		if e := w.edges[w.streamRandom.IntN(len(w.edges))]; e.alive && !e.frozen && len(e.streams.listed) > 0 {
			w.lastStream++
			w.streamCounts.begun++
			stream := &simStream{key: w.lastStream, begunAt: w.now, eventAt: w.now}
			e.serveStream(stream, e.streams.listed[w.streamRandom.IntN(len(e.streams.listed))])
			w.watchStream(stream)
		}
		return true
	})
}

// watchStream takes the stream up at another edge whenever no event comes, until the caller's time ends.
func (w *World) watchStream(stream *simStream) {
	w.every(callerPatience/4, func() bool {
		if stream.ended || w.now.Sub(stream.begunAt) > callerTime || len(stream.versions) == 0 {
			return !stream.ended && w.now.Sub(stream.begunAt) <= callerTime
		}
		if w.now.Sub(stream.eventAt) > callerPatience {
			w.takeUp(stream)
		}
		return true
	})
}

// takeUp sends the caller's request for the rest of a stream to a random edge.
func (w *World) takeUp(stream *simStream) {
	e := w.edges[w.streamRandom.IntN(len(w.edges))]
	if !e.alive || e.frozen {
		return
	}
	w.streamCounts.takenUp++
	stream.eventAt = w.now
	stream.serving++
	request := stream.serving
	// The hubs that hold the origin now and can be reached must lead to it.
	mustKnow := e.reachesOrigin(stream.key)
	e.findOrigin(stream, func(known *origin.Knowledge) {
		if stream.serving != request || stream.ended {
			return
		}
		version := w.continuingVersion(e, known)
		switch {
		case version == "":
			w.streamCounts.unknown++
			if mustKnow && e.reachesOrigin(stream.key) {
				w.ledger.recordViolation("%s does not find the origin of stream %d, which a hub holds", e.name, stream.key)
			}
		case !slices.Contains(e.streams.listed, version):
			w.streamCounts.gone++
		default:
			w.streamCounts.wentOn++
			e.serveStream(stream, version)
		}
	})
}

// continuingVersion returns the version at which the edge continues a stream, empty for none.
func (w *World) continuingVersion(e *edge, known *origin.Knowledge) incarnation.Version {
	if w.mutation == MutationAnyWorkerVersion && len(e.streams.listed) > 0 {
		return e.streams.listed[w.streamRandom.IntN(len(e.streams.listed))]
	}
	return origin.Decide(known).Version
}

// serveStream sends the events of a stream from workers of a version, until it ends or breaks.
func (e *edge) serveStream(stream *simStream, version incarnation.Version) {
	w, incarnation, request := e.world, e.incarnation, stream.serving
	w.every(streamEventInterval, func() bool {
		if e.incarnation != incarnation || !e.alive || stream.serving != request || stream.ended {
			return false
		}
		if e.frozen {
			return true
		}
		if !workersRun(version, w.now.Sub(startTime)) {
			return false
		}
		if w.streamRandom.IntN(workerBreaks) == 0 {
			if e.takesExitForEnd(stream) {
				w.ledger.recordViolation("%s ends stream %d as complete after %d of %d events", e.name, stream.key, len(stream.versions), streamEvents)
				stream.ended = true
			}
			if stream.ended || !slices.Contains(e.streams.listed, version) {
				// No other worker of the version is listed.
				return false
			}
		}
		if len(stream.versions) == 0 {
			e.shareOrigin(stream.key, version)
		}
		stream.addEvent(w, version)
		return !stream.ended
	})
}

// takesExitForEnd reports whether the edge takes the exit of the stream's worker for the end of the
// answer. The workers don't mark the ends of every other stream.
func (e *edge) takesExitForEnd(stream *simStream) bool {
	ending := httpanswer.Ending{Marked: stream.key%2 == 0, RequestTaken: true, SameStart: e.world.mutation == MutationTrustEnd}
	return !ending.Marked && ending.IsWhole()
}

// addEvent passes an event of a worker of the version to the caller.
func (s *simStream) addEvent(w *World, version incarnation.Version) {
	s.eventAt = w.now
	s.versions = append(s.versions, version)
	if version != s.versions[0] {
		w.ledger.recordViolation("stream %d has events of the versions %v", s.key, s.versions)
	}
	s.ended = len(s.versions) >= streamEvents || version != s.versions[0]
}

// workersRun reports whether workers of the version run at a time since the start.
func workersRun(version incarnation.Version, at time.Duration) bool {
	return slices.Contains(servingVersions(at), version) || slices.Contains(servingVersions(at-listLag-endDelay), version)
}

// hubsOf returns the stores that keep the origins of an edge's streams.
func (e *edge) hubsOf() []*machine {
	stores := e.world.machinesOf(kindStore)
	return stores[:min(2, len(stores))]
}

// shareOrigin sends the origin of a stream to the hubs.
func (e *edge) shareOrigin(key origin.Key, version incarnation.Version) {
	began := origin.Origin{Pool: "p", Version: version}
	e.streams.origins.Put(e.clock(), key, began, callerTime)
	for _, hub := range e.hubsOf() {
		e.transmitWith(e.world.streamRandom, hub, func() { hub.origins.Put(hub.clock(), key, began, callerTime) })
	}
}

// reachesOrigin reports whether the edge exchanges messages with a hub that holds the origin.
func (e *edge) reachesOrigin(key origin.Key) bool {
	for _, hub := range e.world.machinesOf(kindStore) {
		if !hub.alive || hub.frozen || hub.blocked[e.name] || e.blocked[hub.name] || !hub.suspendedAt.IsZero() || !e.suspendedAt.IsZero() {
			continue
		}
		if _, held := hub.origins.Get(hub.clock(), key); held {
			return true
		}
	}
	return false
}

// findOrigin collects what the edge and the hubs know of a stream and passes it to then.
func (e *edge) findOrigin(stream *simStream, then func(known *origin.Knowledge)) {
	w, incarnation := e.world, e.incarnation
	known := &origin.Knowledge{StreamAge: callerTime}
	finish := func() {
		e.runWhenAwake(incarnation, func() {
			e.addListKnowledge(known)
			then(known)
		})
	}
	if began, held := e.streams.origins.Get(e.clock(), stream.key); held {
		known.Found, known.Source = began, origin.Local
		finish()
		return
	}
	stores, answered := w.machinesOf(kindStore), map[string]bool{}
	for round := range lookupRounds {
		w.after(time.Duration(round)*lookupInterval, func() {
			for _, hub := range stores {
				e.askHub(hub, stream.key, func(began origin.Origin, held bool) {
					answered[hub.name] = true
					if held {
						known.Found, known.Source = began, origin.Hub
					}
				})
			}
		})
	}
	w.after(lookupRounds*lookupInterval, func() {
		known.HubsAnswered = len(answered) == len(stores)
		finish()
	})
}

func (e *edge) askHub(hub *machine, key origin.Key, onAnswer func(began origin.Origin, held bool)) {
	w, incarnation := e.world, e.incarnation
	e.transmitWith(w.streamRandom, hub, func() {
		began, held := hub.origins.Get(hub.clock(), key)
		hub.transmitWith(w.streamRandom, e.machine, func() { e.runWhenAwake(incarnation, func() { onAnswer(began, held) }) })
	})
}

// addListKnowledge adds what the edge's list of workers shows.
func (e *edge) addListKnowledge(known *origin.Knowledge) {
	s := &e.streams
	known.ListWhole, known.ListAge = len(s.listed) > 0, e.clock().Sub(s.listedAt)
	if len(s.listed) == 1 {
		known.Sole, known.SoleFor = s.listed[0], e.clock().Sub(s.soleSince)
	}
	if e.world.mutation == MutationAssumeVersion {
		known.SoleFor, known.ListAge = known.StreamAge, 0
	}
}

// pollVersions asks the coordinators for the list of workers.
func (e *edge) pollVersions() {
	w, incarnation, askedAt := e.world, e.incarnation, e.clock()
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		e.transmitWith(w.streamRandom, coordinator, func() {
			if !coordinator.leads() {
				return
			}
			listed := servingVersions(max(0, w.now.Sub(startTime)-listLag))
			coordinator.transmitWith(w.streamRandom, e.machine, func() { e.runWhenAwake(incarnation, func() { e.applyVersions(listed, askedAt) }) })
		})
	}
}

// applyVersions applies an answer to a poll that was sent at askedAt.
func (e *edge) applyVersions(listed []incarnation.Version, askedAt time.Time) {
	s := &e.streams
	if askedAt.Before(s.listedAt) {
		return
	}
	unheard := askedAt.Sub(s.listedAt) > maxListGap
	s.listedAt = askedAt
	if unheard || !slices.Equal(s.listed, listed) {
		s.listed, s.soleSince = listed, e.clock()
	}
}

// String returns the counts for the log of a test.
func (c streamCounts) String() string {
	return fmt.Sprintf("%d streams, %d taken up: %d went on, %d of unknown origin, %d whose version is gone", c.begun, c.takenUp, c.wentOn, c.unknown, c.gone)
}
