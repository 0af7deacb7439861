package rpc

import "github.com/tinylib/msgp/msgp"

// Encoded is an answer that is encoded once for many callers: at a fleet's size, the
// same news encoded and compressed for each of them is most of a coordinator's work.
type Encoded struct {
	body     []byte
	encoding string
}

// Encode encodes an answer.
func Encode(message msgp.Marshaler) (*Encoded, error) {
	body, encoding, err := encodeBody(message)
	if err != nil {
		return nil, err
	}
	return &Encoded{body: body, encoding: encoding}, nil
}

// MarshalMsg implements msgp.Marshaler, so that handlers can answer with it; Handle
// writes the body as it is.
func (e *Encoded) MarshalMsg(before []byte) ([]byte, error) { return append(before, e.body...), nil }
