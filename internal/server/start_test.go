package server_test

import (
	"net/http"
	"testing"

	"currantpulley/internal/server"
)

// startWith starts a server on a free port, which is closed after the test.
func startWith(tb testing.TB, o server.Options) *server.Server {
	tb.Helper()
	o.Address = "127.0.0.1:0"
	s, err := server.Start(o)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(s.Close)
	return s
}

// doNothing is a handler.
func doNothing(http.ResponseWriter, *http.Request) {}
