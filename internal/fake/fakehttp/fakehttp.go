// Package fakehttp contains helpers shared by the fakes that serve HTTP.
package fakehttp

import (
	"encoding/json"
	"net"
	"net/http"
)

// WriteJSON writes a response with status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the request's body into v. If that fails, it responds with
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort closes the connection of the current request, before or during the
// response. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Serve starts to serve handler on address (host:port) and returns the address
// that it listens on. The caller must close the server.
func Serve(address string, handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}
