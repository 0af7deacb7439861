package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/tenancy"
)

const (
	// MaxParts is how many parts of a prompt are judged. It bounds what a worker exit costs,
	// whatever a caller lists.
	MaxParts = 32
	// GoodRunTime is how long a run that a worker's exit broke off must have received output to count
	// as a success. A request that makes workers exit does so when they begin its answer.
	GoodRunTime = time.Second
)

// Subject is what the outcome of a run counts for: the whole request, and the parts of its prompt that
// other requests may have, too. One of them may be the reason why a worker exits.
type Subject struct {
	Request Fingerprint
	Parts   []Fingerprint
}

// PartFingerprint returns the fingerprint of a part of a prompt. Parts of different owners differ, so
// that no tenant can have another tenant's requests refused.
func PartFingerprint(owner tenancy.Name, part string) Fingerprint {
	digest := sha256.New()
	for _, field := range []string{"part", string(owner), part} {
		writePart(digest, field)
	}
	var sum [sha256.Size]byte
	return Fingerprint(binary.LittleEndian.Uint64(digest.Sum(sum[:0])))
}

// PartFingerprints returns the fingerprints of the first MaxParts different parts.
func PartFingerprints(owner tenancy.Name, parts []string) []Fingerprint {
	fingerprints := make([]Fingerprint, 0, min(len(parts), MaxParts))
	for _, part := range parts {
		fingerprint := PartFingerprint(owner, part)
		if slices.Contains(fingerprints, fingerprint) {
			continue
		}
		if fingerprints = append(fingerprints, fingerprint); len(fingerprints) == MaxParts {
			break
		}
	}
	return fingerprints
}

// SharedParts returns the fingerprints of the parts that other requests may have, given the ids of
// all parts in order. The last part belongs to the request or its session alone.
func SharedParts(owner tenancy.Name, ids []string) []Fingerprint {
	if len(ids) < 2 {
		return nil
	}
	last := ids[len(ids)-1]
	shared := slices.DeleteFunc(slices.Clone(ids[:len(ids)-1]), func(id string) bool { return id == last })
	return PartFingerprints(owner, shared)
}

// FormatParts returns the ids of the parts that are judged with their fingerprints, in the form used in
// logs.
func FormatParts(owner tenancy.Name, ids []string) string {
	var texts []string
	shared := SharedParts(owner, ids)
	for _, id := range ids {
		if fingerprint := PartFingerprint(owner, id); slices.Contains(shared, fingerprint) {
			texts = append(texts, id+"="+fingerprint.String())
		}
	}
	return strings.Join(texts, ",")
}

// all returns the request and the parts.
func (s *Subject) all() []Fingerprint {
	return append([]Fingerprint{s.Request}, s.Parts...)
}

// OnlyRequest reports whether the refused fingerprints are that of the request itself and none of a part.
func (s *Subject) OnlyRequest(refused []Fingerprint) bool {
	return len(refused) == 1 && refused[0] == s.Request
}

// Output records when a run received output. The zero value is that of a run without output.
type Output struct{ first, last time.Time }

// Record records that the run received output now.
func (o *Output) Record(now time.Time) {
	if o.first.IsZero() {
		o.first = now
	}
	o.last = now
}

// Received reports whether the run has received output.
func (o *Output) Received() bool { return !o.first.IsZero() }

// Duration returns the time from the first output to the last.
func (o *Output) Duration() time.Duration { return o.last.Sub(o.first) }

const (
	// creditTime is for how long a success of a part at this process keeps worker exits from being
	// held against the part. It may last up to twice as long.
	creditTime = time.Second
	// maxCredits bounds the parts with a success in each creditTime.
	maxCredits = 4096
)

// credits holds the parts of prompts with a recent success at this process. Workers that exit break
// off many requests with a part that is common to most; its successes show that the part is not the
// reason. The zero value is ready for use.
type credits struct {
	startedAt       time.Time
	current, former map[Fingerprint]struct{}
}

// advance drops the successes that are too old.
func (c *credits) advance(now time.Time) {
	age := now.Sub(c.startedAt)
	if age < creditTime {
		return
	}
	c.former = nil
	if age < 2*creditTime {
		c.former = c.current
	}
	c.current, c.startedAt = nil, now
}

// add records a success of the parts.
func (c *credits) add(now time.Time, parts []Fingerprint) {
	c.advance(now)
	for _, part := range parts {
		if len(c.current) >= maxCredits {
			return
		}
		if c.current == nil {
			c.current = map[Fingerprint]struct{}{}
		}
		c.current[part] = struct{}{}
	}
}

// has reports whether the part has a recent success.
func (c *credits) has(now time.Time, part Fingerprint) bool {
	c.advance(now)
	_, current := c.current[part]
	_, former := c.former[part]
	return current || former
}

// blamed returns what a worker exit during a run of the subject counts against. exitsOf returns how
// often each worker exited before under a fingerprint. A part is blamed only if it has no recent
// success and the request alone does not explain its exits.
func (c *credits) blamed(now time.Time, s *Subject, exitsOf func(Fingerprint) map[uint32]int) []Fingerprint {
	blamed, requestExits := []Fingerprint{s.Request}, exitsOf(s.Request)
	for _, part := range s.Parts {
		if !c.has(now, part) && !explains(requestExits, exitsOf(part)) {
			blamed = append(blamed, part)
		}
	}
	return blamed
}

// explains reports whether all exits under a part, of which there are some, are also exits under the
// request.
func explains(requestExits, partExits map[uint32]int) bool {
	for worker := range partExits {
		if requestExits[worker] == 0 {
			return false
		}
	}
	return len(partExits) > 0
}
