package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"currantpulley/internal/settings"
)

// callerTLS returns the TLS configuration of the listener for callers, nil if TLS is
// off.
func callerTLS(s settings.TLS) (*tls.Config, error) {
	if s.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate of the listener for callers %s: %w", s.Cert, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the server and client configurations for mutual TLS between
// daemons, nil if TLS is off.
func peerTLS(s settings.TLS) (serverSide, clientSide *tls.Config, err error) {
	if s.PeerCert == "" {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.PeerCert, s.PeerKey)
	if err != nil {
		return nil, nil, fmt.Errorf("load peer certificate %s: %w", s.PeerCert, err)
	}
	pem, err := os.ReadFile(s.PeerCA)
	if err != nil {
		return nil, nil, fmt.Errorf("read peer CA: %w", err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("peer CA file %s holds no certificate", s.PeerCA)
	}
	serverSide = &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: ca,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	clientSide = &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: ca, MinVersion: tls.VersionTLS13}
	return serverSide, clientSide, nil
}
