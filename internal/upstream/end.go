package upstream

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// isEnd reports whether a body ended as it should.
func isEnd(err error) bool { return err == io.EOF }

// TimedOut reports whether a read ended because nothing came in time.
func TimedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
