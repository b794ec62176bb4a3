// Package admin defines the requests and responses of a daemon's admin listener,
// which the command-line tool calls.
package admin

import (
	"encoding/json"
	"time"

	"currantpulley/internal/control/orders"
)

// HTTP paths of the admin listener.
const (
	PathStatus   = "/admin/status"
	PathDrain    = "/admin/drain"
	PathExplain  = "/admin/explain"
	PathTimeline = "/admin/timeline"
	PathRoute    = "/admin/route"
)

// ExplainRequest asks how a request would be routed.
type ExplainRequest struct {
	Workspace string          `json:"workspace"`
	Path      string          `json:"path"`
	Body      json.RawMessage `json:"body"`
	MaxWait   time.Duration   `json:"max_wait_ns,omitempty"` // that the caller waits for the first token; 0: any time
}

// Status is the response to GET /admin/status.
type Status struct {
	VM          string    `json:"vm"`
	DataCentre  string    `json:"data_centre"`
	Site        string    `json:"site"`
	Version     uint64    `json:"version"` // of the configuration in force; 0: none
	Hash        string    `json:"hash"`
	Admitting   bool      `json:"admitting"`
	Reason      string    `json:"reason,omitempty"` // why the daemon admits no requests
	InProgress  int64     `json:"in_progress"`      // requests
	LastContact time.Time `json:"last_heard"`       // last contact with a peer; zero: never

	// Bytes sent to and received from other daemons since the start.
	ControlSent     uint64 `json:"control_sent_bytes"`
	ControlReceived uint64 `json:"control_received_bytes"`

	VMs       []VMStatus       `json:"vms"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Orders    []orders.Status  `json:"orders,omitempty"` // to the engines that this daemon manages
}

// VMStatus is the state of another daemon as seen by this one.
type VMStatus struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Site        string `json:"site"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
}

// UpstreamStatus is the state of an upstream as seen by this daemon.
type UpstreamStatus struct {
	Name        string            `json:"name"`
	Kind        string            `json:"kind"`
	DataCentre  string            `json:"data_centre"`
	Health      string            `json:"health"`
	Leaving     bool              `json:"leaving"`
	Incarnation string            `json:"incarnation,omitempty"`
	Weights     map[string]string `json:"weights,omitempty"`
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
	LoadAt      time.Time         `json:"load_at"` // time of the last load report; zero: none yet
}
