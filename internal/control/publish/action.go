package publish

import (
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
)

// Action is something that the machine wants done outside of it.
type Action interface{ action() }

type (
	// Append adds a record to the stream; the result goes to Machine.Appended.
	Append struct{ Record *pb.Record }
	// RequestStage sends a StageRequest to a VM; the result goes to Machine.StageAnswered.
	RequestStage struct {
		VM          string
		Request     *pb.StageRequest
		WithContent bool // Request lacks the content, which is that of the candidate
	}
	// Fetch asks a VM for the configuration in force there; the result goes
	// to Machine.Fetched.
	Fetch struct {
		VM    string
		Above uint64
	}
	// Check runs the deterministic checks and the check against recent
	// traffic; the result goes to Machine.Checked.
	Check struct {
		Candidate uint64
		Content   []byte
		Hash      string
		Override  bool
	}
	// Apply takes a version into force here.
	Apply struct {
		Version uint64
		Hash    string
		Content []byte
	}
	// Detach stops or resumes admitting requests.
	Detach struct {
		Detached bool
		Reason   string
	}
	// Note records an event.
	RecordEvent struct{ Event event.Event }
)

func (Append) action()       {}
func (RequestStage) action() {}
func (Fetch) action()        {}
func (Check) action()        {}
func (Apply) action()        {}
func (Detach) action()       {}
func (RecordEvent) action()  {}

// Timing holds the protocol's periods.
type Timing struct {
	AckTimeout    time.Duration // a VM that is silent this long refuses the candidate
	Takeover      time.Duration // delay before the next VM in rank coordinates
	Detach        time.Duration // without contact, until requests are not admitted
	Reappend      time.Duration // age at which the version in force is appended again
	StageInterval time.Duration // between two requests to one VM
}

const defaultStageInterval = 150 * time.Millisecond

// DefaultTiming is used until a configuration is in force.
func DefaultTiming() Timing {
	return Timing{
		AckTimeout:    6 * time.Second,
		Takeover:      time.Second,
		Detach:        5 * time.Second,
		Reappend:      time.Hour,
		StageInterval: defaultStageInterval,
	}
}
