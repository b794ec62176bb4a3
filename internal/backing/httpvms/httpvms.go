// Package httpvms is the HTTP client of the platform's list of VMs.
package httpvms

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"currantpulley/internal/backing"
	"currantpulley/internal/backing/httpclient"
	"currantpulley/internal/failure"
	"currantpulley/internal/httpbody"
)

const (
	maxResponse = 4 << 20 // bytes of one response
	step        = "read VM list"
)

// List implements backing.VMList over HTTP.
type List struct {
	base   string
	client *http.Client
}

var _ backing.VMList = (*List)(nil)

// New returns a List at the URL base, such as "http://10.0.0.1:9000". It uses a copy
// of client, see httpclient.New.
func New(base string, client *http.Client) *List {
	return &List{base: strings.TrimRight(base, "/"), client: httpclient.New(client)}
}

// List implements backing.VMList.
func (l *List) List(ctx context.Context) ([]backing.ListedVM, error) {
	vms, err := l.list(ctx)
	if err != nil {
		return nil, failure.Atf(step, l.base, "%w: %w", backing.ErrUnavailable, err)
	}
	return vms, nil
}

func (l *List) list(ctx context.Context) ([]backing.ListedVM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/vms", nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	data, err := httpbody.Read(resp, maxResponse)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	var vms []backing.ListedVM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	if vms == nil {
		return nil, fmt.Errorf("the response is no list")
	}
	for _, vm := range vms {
		if vm.Name == "" || vm.PeerAddress == "" {
			return nil, fmt.Errorf("a listed VM has no name or no peer address")
		}
	}
	return vms, nil
}
