package httpanswer

import (
	"encoding/json"
	"io"
	"net/http"
)

// Transport fails for answers whose head is not valid, and their bodies fail at an end that is not valid.
// It wraps the transport of a client of net/http.
type Transport struct {
	// Next makes the calls.
	Next *http.Transport
	// MarkedEnds fails for an answer whose body may end with its connection, too. Without it, the caller
	// must see by the body itself whether it is whole.
	MarkedEnds bool
}

// NewTransport returns a Transport over a copy of net/http's default transport.
func NewTransport() *Transport {
	return &Transport{Next: http.DefaultTransport.(*http.Transport).Clone()}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = CheckHead(response)
	if err == nil && t.MarkedEnds && !IsMarked(response) {
		err = invalid("the end of its body is not marked")
	}
	if err != nil {
		_ = response.Body.Close()
		// The connection of an answer without a body is idle by now, and must not be used again.
		t.CloseIdleConnections()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes the idle connections, as http.Client.CloseIdleConnections expects.
func (t *Transport) CloseIdleConnections() { t.Next.CloseIdleConnections() }

// checkedBody fails in place of io.EOF if the body's trailer is not valid.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		if invalid := CheckTrailer(b.response); invalid != nil {
			err = invalid
		}
	}
	return count, err
}

// DecodeJSON reads a body of at most maxBytes to its end, and decodes it into value. A decoder alone would
// stop at the end of the value, where the body need not be whole.
func DecodeJSON(body io.Reader, maxBytes int64, value any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(text)) > maxBytes {
		return invalid("more than %d bytes", maxBytes)
	}
	return json.Unmarshal(text, value)
}
