// Package keys generates the secret keys of callers and operators. Only their digests are stored; a
// key is shown once, when it is created. The secrets are random and long, so a plain digest can't
// be reversed by guessing.
package keys

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

const secretBytes = 24

// New returns a new key. It contains the kind ("tenant" or "operator") and the owner's name, so
// that people can tell keys apart.
func New(kind, owner string) (string, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", err
	}
	return fmt.Sprintf("sm-%s-%s-%s", kind, owner, hex.EncodeToString(secret)), nil
}
