package admin

import "time"

// RouteRequest asks a daemon on a platform where a request would go now. The request isn't
// sent, and counts for nothing.
type RouteRequest struct {
	ID        string        `json:"id,omitempty"` // decides where a hash of it does; empty: any
	Host      string        `json:"host"`
	Path      string        `json:"path"`
	Workspace string        `json:"workspace,omitempty"` // name; empty: none
	MaxWait   time.Duration `json:"max_wait_ns,omitempty"`
	BodyBytes int           `json:"body_bytes,omitempty"`
	Prompt    *RoutePrompt  `json:"prompt,omitempty"` // nil: a plain call
}

// RoutePrompt describes the prompt of a request.
type RoutePrompt struct {
	Model  string      `json:"model"`
	Tokens int         `json:"tokens"`
	Output int         `json:"output"` // tokens expected in the answer
	Parts  []RoutePart `json:"parts,omitempty"`
}

// RoutePart is one part of a prompt.
type RoutePart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// RouteExplanation tells where a request would go now and why.
type RouteExplanation struct {
	Version    uint64           `json:"version"` // of the configuration
	Route      string           `json:"route,omitempty"`
	Service    string           `json:"service,omitempty"`
	Workspace  string           `json:"workspace,omitempty"`
	Urgency    int              `json:"urgency"`          // at the engine, 0 goes first
	Share      string           `json:"share,omitempty"`  // of the service's room, if room is short
	Quota      string           `json:"quota,omitempty"`  // of the workspace, for all daemons together; empty: none
	Picked     string           `json:"picked,omitempty"` // upstream; empty: none
	Left       string           `json:"left,omitempty"`   // why it would leave the data centre; empty: it would not
	Fetch      string           `json:"fetch,omitempty"`  // address from which the engine would fetch parts of the prompt
	Refusal    *RouteRefusal    `json:"refusal,omitempty"`
	Candidates []RouteCandidate `json:"candidates,omitempty"`
}

// RouteRefusal is the refusal that a request would get.
type RouteRefusal struct {
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Cause      string        `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// RouteCandidate is what a daemon thinks of one upstream for a request. Its score is what
// candidates are compared by, less is better; wait, crossing and affinity are parts of it.
type RouteCandidate struct {
	Upstream   string        `json:"upstream"`
	DataCentre string        `json:"data_centre"`
	Bar        string        `json:"bar,omitempty"` // why it may not get the request
	Closed     time.Duration `json:"closed_ns,omitempty"`
	Weights    uint64        `json:"weights,omitempty"`
	Owner      bool          `json:"owner,omitempty"`
	Held       int           `json:"held_tokens,omitempty"`
	Fetched    int           `json:"fetched_tokens,omitempty"`
	Score      time.Duration `json:"score_ns"`
	Wait       time.Duration `json:"wait_ns"`
	Ahead      time.Duration `json:"ahead_ns"`
	Crossing   time.Duration `json:"crossing_ns"`
	Affinity   time.Duration `json:"affinity_ns"`
	First      time.Duration `json:"expected_first_ns"` // until the first byte in most cases
	Whole      time.Duration `json:"expected_whole_ns"`
	Learnt     bool          `json:"learnt"` // the expectation comes from earlier answers
	Late       time.Duration `json:"late_ns,omitempty"`
}
