// Package rpctest serves calls of package rpc in tests.
package rpctest

import "net/http"

// Mux is a ServeMux that implements rpc.Router. Use it in tests only.
type Mux struct{ *http.ServeMux }

// NewMux returns an empty mux.
func NewMux() Mux { return Mux{http.NewServeMux()} }

// HandleFunc implements rpc.Router.
func (m Mux) HandleFunc(path string, handler http.HandlerFunc) { m.Handle(path, handler) }
