// Package quarantine protects workers from requests that make them exit. The reason may be a whole
// request that comes again, or a part of the prompt that many requests have. What several workers
// exited under, without a successful run since, is refused until a trial run is granted. The
// package performs no I/O; callers pass in the time.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"strconv"
	"strings"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Fingerprint identifies a request, or a part of a prompt. Two requests with the same fingerprint
// have the same owner, host, method, target and body. Ids, deadlines and all other headers differ
// between arrivals of the same request and are left out. Two parts with the same fingerprint have
// the same owner and id.
type Fingerprint uint64

// String returns the fingerprint in the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses a fingerprint in the form used in logs. It fails with BadRequest.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, failure.Wrap(err, failure.BadRequest, "copy the request's identity from a log line", "%q is no identity of a request", text)
	}
	return Fingerprint(value), nil
}

// Format returns the fingerprints in the form used in logs, separated by commas.
func Format(fingerprints []Fingerprint) string {
	texts := make([]string, len(fingerprints))
	for i, fingerprint := range fingerprints {
		texts[i] = fingerprint.String()
	}
	return strings.Join(texts, ",")
}

// Fingerprints returns the fingerprints with the given values.
func Fingerprints(values []uint64) []Fingerprint {
	fingerprints := make([]Fingerprint, len(values))
	for i, value := range values {
		fingerprints[i] = Fingerprint(value)
	}
	return fingerprints
}

// Uint64s returns the values of the fingerprints.
func Uint64s(fingerprints []Fingerprint) []uint64 {
	values := make([]uint64, len(fingerprints))
	for i, fingerprint := range fingerprints {
		values[i] = uint64(fingerprint)
	}
	return values
}

// FingerprintOf returns a request's fingerprint. It is taken from a SHA-256 digest, so that nobody
// can craft a request with the fingerprint of another request. If the two had the same fingerprint,
// both would be refused once the crafted one is.
func FingerprintOf(owner tenancy.Name, host, method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{string(owner), host, method, target} {
		writePart(digest, part)
	}
	// Writing to a hash never fails.
	_, _ = digest.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(binary.LittleEndian.Uint64(digest.Sum(sum[:0])))
}

// writePart writes a part after its length, so that the border between two parts is unambiguous.
func writePart(digest hash.Hash, part string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, part)
}
