package publish

import (
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
)

// Action is a side effect that the Machine requests from its caller.
type Action interface{ action() }

type (
	// Append appends a record to the configuration stream. The result goes to
	// Machine.Appended.
	Append struct{ Record *pb.Record }
	// RequestStage sends a StageRequest to a VM. The result goes to
	// Machine.StageAnswered.
	RequestStage struct {
		VM          string
		Request     *pb.StageRequest
		WithContent bool // add the candidate's content to Request
	}
	// Fetch requests the configuration in force at a VM. The result goes to
	// Machine.Fetched.
	Fetch struct {
		VM    string
		Above uint64 // the content is only needed for a higher version
	}
	// Check runs the deterministic checks and the check against recent
	// traffic on a candidate. The result goes to Machine.Checked.
	Check struct {
		Candidate uint64
		Content   []byte
		Hash      string
		Override  bool
	}
	// Apply brings a version into force on this VM.
	Apply struct {
		Version uint64
		Hash    string
		Content []byte
	}
	// Detach stops the admission of requests, or resumes it.
	Detach struct {
		Detached bool
		Reason   string
	}
	// RecordEvent records an event.
	RecordEvent struct{ Event event.Event }
)

func (Append) action()       {}
func (RequestStage) action() {}
func (Fetch) action()        {}
func (Check) action()        {}
func (Apply) action()        {}
func (Detach) action()       {}
func (RecordEvent) action()  {}

// Timing holds the timeouts and intervals of the protocol.
type Timing struct {
	AckTimeout    time.Duration // without an answer for this long, a VM counts as refusing the candidate
	Takeover      time.Duration // delay before the VM of the next rank coordinates
	Detach        time.Duration // time without contact after which the daemon detaches
	Reappend      time.Duration // age at which the record of the version in force is appended again
	StageInterval time.Duration // minimum time between two stage requests to one VM
}

const defaultStageInterval = 150 * time.Millisecond

// DefaultTiming returns the timing used until a configuration is in force.
func DefaultTiming() Timing {
	return Timing{
		AckTimeout:    6 * time.Second,
		Takeover:      time.Second,
		Detach:        5 * time.Second,
		Reappend:      time.Hour,
		StageInterval: defaultStageInterval,
	}
}
