// Package httpvms is the HTTP client of the platform's list of VMs.
package httpvms

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"currantpulley/internal/backing"
	"currantpulley/internal/failure"
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

// New returns a List at the URL base, such as "http://10.0.0.1:9000". A nil client
// means http.DefaultClient.
func New(base string, client *http.Client) *List {
	if client == nil {
		client = http.DefaultClient
	}
	return &List{base: strings.TrimRight(base, "/"), client: client}
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
	var vms []backing.ListedVM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	for _, vm := range vms {
		if vm.Name == "" || vm.PeerAddress == "" {
			return nil, fmt.Errorf("a listed VM has no name or no peer address")
		}
	}
	return vms, nil
}
