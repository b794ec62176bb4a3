// Package gateway is the reverse proxy: it routes requests by host and path to
// services, retries failed attempts and relays responses. A Dialect translates
// the headers of callers and upstreams; routes and upstreams come from the
// catalog.
package gateway

import (
	"net/http"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
)

// Call holds what the headers of a request say about it.
type Call struct {
	ID           string          // request id, unique for each attempt of the caller
	Key          string          // API key, which identifies the workspace; empty: none
	MaxWait      time.Duration   // how long the caller will wait; 0: not given
	Prompt       *balance.Prompt // nil: not given
	Tokens       int             // of the prompt and, at most, of the answer, as stated
	HasTokens    bool            // Tokens is stated
	LastEvent    uint64          // id of the last stream event that the caller received
	HasLastEvent bool            // LastEvent is set
	FirstAttempt string          // id of the caller's attempt that brought the first event of the stream; empty: not given
}

// Outbound holds what the headers of a request to an upstream say in addition
// to the caller's own headers.
type Outbound struct {
	Upstream  *catalog.Upstream
	Remaining time.Duration // until the request's deadline
	Workspace string        // name; empty: none
	Salt      string        // separates cache entries; empty: not set
	Version   uint64        // expected weights version; 0: any
	Urgency   int           // 0 is the most urgent; negative: not set
	LastEvent uint64        // id of the event after which a stream resumes
	Resume    bool          // resumes a stream after LastEvent
	FetchFrom string        // address to fetch cache entries from; empty: none
	SaveTo    string        // address of the store to save cache entries to; empty: none
}

// Inbound holds what the head of an upstream's response says.
type Inbound struct {
	ID       string        // id of the request that the response belongs to
	Signed   bool          // carries the upstream's signature
	NotRun   bool          // the upstream states that the request did not run
	Version  uint64        // weights version; 0: not given
	Load     *balance.Load // nil: not given
	Brittle  *float64      // rejections a second for want of room beyond which the upstream ends; nil: not brittle
	Leaving  bool          // the upstream shuts down and wants no further requests
	Pause    time.Duration // from now on in which the upstream wants no requests; 0: not given
	PauseErr error         // why the time that the upstream gave for Pause can't be used; nil: it can
	Limit    *float64      // requests a second that the upstream takes from all daemons together; nil: any number
}

// Dialect reads and writes the headers exchanged with callers and upstreams.
type Dialect interface {
	// Call parses a caller's headers. Its error names the malformed header.
	Call(h http.Header) (Call, error)
	// Outbound rewrites a caller's headers, from which the hop-by-hop headers
	// were removed, into the headers of a request to an upstream.
	Outbound(h http.Header, o Outbound)
	// Inbound parses the head of an upstream's response.
	Inbound(status int, h http.Header) Inbound
}
