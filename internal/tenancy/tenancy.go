// Package tenancy names tenants, their keys and what belongs to them. It is pure.
//
// Keys are secrets: nothing but their hashes is kept, told to other processes or
// compared. They are long and random, so a plain hash can't be reversed by guessing.
package tenancy

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name is a tenant's name, empty where a request belongs to nobody.
type Name string

// hashBytes is how much is kept of a key's SHA-256: two keys share 16 bytes by chance
// once in 2^64 keys, and every change of the configuration carries all of them.
const hashBytes = 16

// KeyHash stands for a key. As text it is the beginning of the key's SHA-256 in hex.
type KeyHash [hashBytes]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	digest := sha256.Sum256([]byte(key))
	return KeyHash(digest[:hashBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It takes a whole SHA-256, as
// `sedgemastctl new-key` prints it, or its beginning.
func (h *KeyHash) UnmarshalText(text []byte) error {
	digest, err := hex.DecodeString(string(text))
	if err != nil || len(digest) != hashBytes && len(digest) != sha256.Size {
		return errors.Newf("%q is no SHA-256 in hex", text)
	}
	*h = KeyHash(digest[:hashBytes])
	return nil
}

// separator stands between an owner and what it owns. It is a control character,
// which neither names of tenants nor ids hold.
const separator = "\x1f"

// ScopedName returns the name by which something of an owner is known among those of all
// others. What belongs to nobody keeps its own name.
func ScopedName(owner Name, id string) string {
	if owner == "" {
		return id
	}
	return string(owner) + separator + id
}

// IsPlainText reports whether a text holds no control character, and so can't be mistaken for
// a scoped name.
func IsPlainText(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r == '\x7f' }) < 0
}
