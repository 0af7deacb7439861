package rpc

import "github.com/tinylib/msgp/msgp"

// Encoded is a response that is encoded once for many callers. In a large fleet, encoding
// and compressing the same update for each caller would be most of a coordinator's work.
type Encoded struct {
	body     []byte
	encoding string
}

// Encode encodes a response for repeated use.
func Encode(message msgp.Marshaler) (*Encoded, error) {
	body, encoding, err := encodeBody(message)
	if err != nil {
		return nil, err
	}
	return &Encoded{body: body, encoding: encoding}, nil
}

// MarshalMsg implements msgp.Marshaler, so that handlers can return an Encoded; Handle
// writes its body unchanged.
func (e *Encoded) MarshalMsg(buffer []byte) ([]byte, error) { return append(buffer, e.body...), nil }
