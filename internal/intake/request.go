package intake

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/connlimit"
	"github.com/sedgemast/sedgemast/internal/memlimit"
)

// longBodyBytes is the size on the connection from which on a body is read in turns.
const longBodyBytes = 64 << 10

// request is a request that is being served.
type request struct {
	conn   *conn
	charge *memlimit.Charge
	// reading is set while the handler reads the body.
	reading atomic.Bool
	// received counts the bytes on the connection that belong to the body.
	received atomic.Int64

	// mutex guards the fields below.
	mutex sync.Mutex
	// whole is set once the body has ended, revoked if the request gave way before. At most one is set.
	whole, revoked bool
	// writing is set while a large part of the answer is written.
	writing bool
	hasTurn bool
	ended   bool
}

func newRequest(c *conn) *request {
	r := &request{conn: c}
	r.charge = c.guard.account.Open(time.Now(), r.revoke)
	return r
}

// end releases all that the request holds.
func (r *request) end() {
	r.mutex.Lock()
	r.ended = true
	r.mutex.Unlock()
	r.leaveTurn()
	r.charge.Close()
}

// hold charges the request for more bytes.
func (r *request) hold(bytes int64) error {
	if r.charge.Add(time.Now(), bytes) {
		return nil
	}
	return r.conn.guard.refusal("refused")
}

// revoke makes the holder of the request stop reading its body, or writing its answer.
func (r *request) revoke() {
	past := time.Unix(1, 0)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case r.writing:
		_ = r.conn.SetWriteDeadline(past)
	case !r.whole:
		r.revoked = true
		_ = r.conn.SetReadDeadline(past)
	}
}

// complete records that the body has ended, and reports false if the request gave way before.
func (r *request) complete() bool {
	r.mutex.Lock()
	r.whole = !r.revoked
	whole := r.whole
	r.mutex.Unlock()
	if whole {
		r.charge.Keep()
		r.conn.setState(connlimit.Serving)
	}
	return whole
}

func (r *request) isRevoked() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.revoked
}

// readConn reads a part of the body from the connection. What follows a read, such as the headers of
// small chunks, is processed in the request's turn once the body is long.
func (r *request) readConn(buffer []byte) (int, error) {
	r.leaveTurn()
	count, err := r.conn.Conn.Read(buffer)
	if r.received.Add(int64(count)) > longBodyBytes && r.reading.Load() {
		r.takeTurn()
	}
	return count, err
}

func (r *request) takeTurn() {
	turns := r.conn.guard.turns
	turns <- struct{}{}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hasTurn || r.ended {
		<-turns
		return
	}
	r.hasTurn = true
}

func (r *request) leaveTurn() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hasTurn {
		r.hasTurn = false
		<-r.conn.guard.turns
	}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	request *request
	ended   bool
}

// Read implements io.Reader. Once the request has given way to others, the error is a refusal.
func (b *body) Read(buffer []byte) (int, error) {
	r := b.request
	if r.isRevoked() {
		return 0, r.conn.guard.refusal("revoked")
	}
	if !b.ended {
		r.conn.setState(connlimit.Sending)
	}
	r.reading.Store(true)
	count, err := b.ReadCloser.Read(buffer)
	r.reading.Store(false)
	r.leaveTurn()
	switch {
	case err == io.EOF:
		if b.ended = r.complete(); !b.ended {
			err = r.conn.guard.refusal("revoked")
		}
	case err != nil && r.isRevoked():
		err = r.conn.guard.refusal("revoked")
	}
	return count, err
}
