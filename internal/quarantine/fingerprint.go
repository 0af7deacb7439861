// Package quarantine keeps requests from workers that end under them: a request that
// ended several workers, and that none has run to a good end since, is refused until
// it may be tried once more. It is pure: times come from the caller.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"strconv"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Fingerprint is the identity of a request: two requests with the same fingerprint have
// the same owner, host, method, target and body. Ids, deadlines and all other headers
// differ from one arrival to the next and are left out.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint reads a fingerprint as it stands in logs. It fails with BadRequest.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, failure.Wrap(err, failure.BadRequest, "copy the request's identity from a log line", "%q is no identity of a request", text)
	}
	return Fingerprint(value), nil
}

// FingerprintOf returns a request's fingerprint. It is cut from a SHA-256, so that nobody can make a
// request that has the fingerprint of another's: the other would be refused with it.
func FingerprintOf(owner tenancy.Name, host, method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{string(owner), host, method, target} {
		writePart(digest, part)
	}
	// A hash takes all that is written.
	_, _ = digest.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(binary.LittleEndian.Uint64(digest.Sum(sum[:0])))
}

// writePart writes a part behind its length, so that parts can't run into one another.
func writePart(digest hash.Hash, part string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, part)
}
