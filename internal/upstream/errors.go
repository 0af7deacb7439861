package upstream

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// isEOF reports whether a body was read to its end.
func isEOF(err error) bool { return err == io.EOF }

// TimedOut reports whether a read failed because its deadline passed.
func TimedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
