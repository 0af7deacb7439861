// Package keys makes the secrets that callers and operators send. Only their
// digests are kept; a key is shown once, when it is made. The secrets are
// random and long, so that a plain digest can't be reversed by guessing.
package keys

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

const secretBytes = 24

// New returns a new key. The kind ("tenant" or "operator") and the owner's name
// stand in it so that a tired reader can tell keys apart.
func New(kind, owner string) (string, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", err
	}
	return fmt.Sprintf("sm-%s-%s-%s", kind, owner, hex.EncodeToString(secret)), nil
}
