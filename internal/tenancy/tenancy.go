// Package tenancy defines the names of tenants, the hashes of their keys, and the scoped names of
// what they own. It has no side effects.
//
// Keys are secrets: only their hashes are stored, sent to other processes or compared. Keys are
// long and random, so a plain hash can't be reversed by guessing.
package tenancy

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name is a tenant's name; empty if a request belongs to no tenant.
type Name string

// hashBytes is how many bytes of a key's SHA-256 are kept. With 16 bytes a collision is expected
// only after 2^64 keys, and the short hash keeps configuration updates small, which carry the
// hashes of all keys.
const hashBytes = 16

// KeyHash identifies a key. Its text form is the beginning of the key's SHA-256 in hex.
type KeyHash [hashBytes]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	digest := sha256.Sum256([]byte(key))
	return KeyHash(digest[:hashBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a whole SHA-256 in hex, as
// `sedgemastctl new-key` prints it, or its first 16 bytes.
func (h *KeyHash) UnmarshalText(text []byte) error {
	digest, err := hex.DecodeString(string(text))
	if err != nil || len(digest) != hashBytes && len(digest) != sha256.Size {
		return errors.Newf("%q is no SHA-256 in hex", text)
	}
	*h = KeyHash(digest[:hashBytes])
	return nil
}

// separator separates an owner from the id of what it owns. It is a control character, which
// neither tenant names nor ids contain.
const separator = "\x1f"

// ScopedName returns the name that identifies an object of an owner among the objects of all
// owners. An object without an owner keeps its own id.
func ScopedName(owner Name, id string) string {
	if owner == "" {
		return id
	}
	return string(owner) + separator + id
}

// IsPlainText reports whether a text contains no control character, and so can't be mistaken for a
// scoped name.
func IsPlainText(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r == '\x7f' }) < 0
}
