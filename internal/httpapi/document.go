package httpapi

import (
	"context"
	"net/http"

	"github.com/sedgemast/sedgemast/internal/intake"
)

// elementBytes is the memory of a decoded element or field of a JSON document, beside its text.
const elementBytes = 64

// ReadDocument reads a JSON document of at most limit bytes and charges the request for what decoding it
// takes.
func ReadDocument(request *http.Request, limit int64) ([]byte, error) {
	body, err := ReadBody(request, limit)
	if err != nil {
		return nil, err
	}
	return body, holdDecoded(request.Context(), body)
}

// holdDecoded charges the context's request for decoding a JSON document.
func holdDecoded(ctx context.Context, document []byte) error {
	elements, inString, escaped := 1, false, false
	for _, char := range document {
		switch {
		case escaped:
			escaped = false
		case inString && char == '\\':
			escaped = true
		case char == '"':
			inString = !inString
		case inString:
		case char == ',' || char == '[' || char == '{':
			elements++
		}
	}
	return intake.Hold(ctx, int64(len(document)+elements*elementBytes))
}
