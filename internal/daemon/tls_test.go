package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key to
// temporary files.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER)
}

// With TLS configured, callers must be served over HTTPS, and a peer without a client
// certificate must be refused.
func TestCallerAndPeerTLS(t *testing.T) {
	cert, key := writeCertificate(t)
	s := testSettings()
	s.TLS.Cert, s.TLS.Key = cert, key
	s.TLS.PeerCert, s.TLS.PeerKey, s.TLS.PeerCA = cert, key, cert
	d, err := Start(context.Background(), s, WithConfig(7, testConfig([]string{streamEngine(t, 10, 4)}, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	pemBytes, _ := os.ReadFile(cert)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pemBytes)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	r, _ := http.NewRequest("POST", "https://"+d.Address()+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"hello","stream":true}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	res, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if ids, complete := eventIDs(t, res.Body); len(ids) != 10 || !complete {
		t.Fatalf("events %v, complete %v", ids, complete)
	}
	conn, err := tls.Dial("tcp", d.PeerAddress(), &tls.Config{RootCAs: pool})
	if err == nil {
		_, err = conn.Read(make([]byte, 1)) // TLS 1.3 reports a missing client certificate here
	}
	if err == nil || !strings.Contains(err.Error(), "certificate required") {
		t.Fatalf("a peer without a certificate got the error %v", err)
	}
}
