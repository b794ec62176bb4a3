package server_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"currantpulley/internal/fake/certificate"
	"currantpulley/internal/memory"
	"currantpulley/internal/server"
)

// startSecure starts a server with TLS and the given limits.
func startSecure(t *testing.T, limits server.Limits) (*server.Server, *memory.Account) {
	t.Helper()
	certFile, keyFile := certificate.Write(t)
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	a := memory.New(accountBytes)
	s := startWith(t, server.Options{Memory: a, Limits: func() server.Limits { return limits },
		TLS:     &tls.Config{Certificates: []tls.Certificate{cert}}, //nolint:gosec // the default version
		Handler: http.HandlerFunc(doNothing)})
	return s, a
}

// dialSecure connects to the server at address over TLS.
func dialSecure(t *testing.T, address string) net.Conn {
	t.Helper()
	return tls.Client(dial(t, address), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a server of the test
}

// Guards against handshakes that aren't counted, or whose memory stays held.
func TestHandshakesAreHeld(t *testing.T) {
	s, a := startSecure(t, slowLimits())
	half := dial(t, s.Address())
	_, _ = half.Write([]byte{22, 3, 1, 0x40, 0, 1, 0, 0x3f, 0xfc, 3, 3}) // of a first message of 16 KB
	eventually(t, "the handshake is held", func() bool { return a.Used() == 64<<10 })
	ordinary := dialSecure(t, s.Address())
	post(ordinary, 1, 1)
	if got, _ := statusOf(ordinary); got != http.StatusOK {
		t.Errorf("status %d beside half a handshake", got)
	}
	eventually(t, "the complete handshake is given back", func() bool { return a.Used() == 64<<10+16<<10 })
}

// Guards against a connection above the limit whose refusal is lost with TLS.
func TestRefusalOverTLS(t *testing.T) {
	limits := slowLimits()
	limits.MaxConnections = 0
	s, _ := startSecure(t, limits)
	c := dialSecure(t, s.Address())
	post(c, 1, 1)
	if got, _ := statusOf(c); got != http.StatusServiceUnavailable {
		t.Errorf("status %d above the limit of connections", got)
	}
}

// Guards against handshakes without an end, in time or in bytes.
func TestHandshakesEnd(t *testing.T) {
	for name, sent := range map[string][]byte{
		"slow": {22, 3, 1},
		"long": append([]byte{22, 3, 1, 0x40, 0, 1, 0, 0xff, 0xfc}, make([]byte, 16<<10)...), // of a message of 64 KB
	} {
		t.Run(name, func(t *testing.T) {
			s, a := startSecure(t, testLimits())
			c := dial(t, s.Address())
			_, _ = c.Write(sent)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.Copy(io.Discard, c); err != nil && isTimeout(err) {
				t.Error("the connection stays open")
			}
			eventually(t, "given back", func() bool { return a.Used() == 0 })
		})
	}
}

// isTimeout reports whether err is that of a deadline.
func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}
