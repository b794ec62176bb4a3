package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"testing"

	"currantpulley/internal/fake/certificate"
)

// With TLS configured, callers must be served over HTTPS, and a peer without a client
// certificate must be refused.
func TestCallerAndPeerTLS(t *testing.T) {
	cert, key := certificate.Write(t)
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
