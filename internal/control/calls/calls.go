// Package calls implements at-most-once execution of calls that carry an
// idempotency key. Before a call is sent, an intent for its key is appended
// to a stream of the platform's log. The first intent for a key in log order
// wins, and only its writer may send the call, once.
//
// Keys are partitioned over the streams. For each stream, the live daemon
// that ranks first in rendezvous hashing batches the entries of all daemons,
// appends them, reads the stream back and replies with the verdicts. The
// choice of that daemon affects only performance: every verdict follows from
// the immutable order of the log.
package calls

import (
	"context"
	"crypto/rand"
	"fmt"
	"math/big"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const (
	candidateCount  = 3
	submitTimeout   = 2 * time.Second
	retryAfter      = time.Second // suggested to callers whose call was refused
	tickPeriod      = 250 * time.Millisecond
	idleCloseAfter  = time.Minute            // for unused streams whose first candidate is another daemon
	readWait        = 500 * time.Millisecond // long-poll time; also bounds the staleness of an idle stream's reader
	readRetry       = 50 * time.Millisecond
	appendTimeout   = 2 * time.Second
	streamsMax      = 4096
	streamsDefault  = 1
	horizonDefault  = time.Hour
	callWaitDefault = 10 * time.Second
)

// Options holds the dependencies of Calls. All fields are required.
type Options struct {
	Loop     *loop.Loop
	Log      backing.Log
	Pool     *peer.Pool
	View     func() fleet.View     // safe for concurrent use
	Config   func() *config.Config // returns the configuration in force, nil before the first; safe for concurrent use
	Self     string                // name of this VM
	Recorder event.Recorder
}

// Calls begins calls for this daemon and serves streams to all daemons. The
// state of its streams is owned by the control loop.
type Calls struct {
	Options
	callspb.UnimplementedCallsServer
	incarnation uint64 // of this process
	started     time.Time
	ctx         context.Context // of Run; set before ready is closed
	ready       chan struct{}

	streams        map[int]*openStream   // by number; owned by the loop
	closedAt       map[int]time.Time     // by stream number; owned by the loop
	background     chan *backgroundEntry // voids and outcomes to submit
	backgroundWork sync.WaitGroup        // one for each entry that is not yet recorded or dropped
}

// openStream is a stream that this daemon reads, with its reader and timer.
type openStream struct {
	*stream
	name             string
	lastUsedAt       time.Time
	stop             context.CancelFunc
	timer            *time.Timer
	timerAt          time.Time // when timer fires
	wasAvailable     bool      // availability of the log as last reported
	reportedSnapshot uint64    // id of the last own snapshot whose completion was reported
}

// New returns a Calls that serves nothing until Run is called.
func New(o Options) *Calls {
	return &Calls{
		Options: o, incarnation: newIncarnation(), started: time.Now(),
		ready: make(chan struct{}), streams: make(map[int]*openStream), closedAt: make(map[int]time.Time), background: make(chan *backgroundEntry, backgroundMax),
	}
}

// Register registers the Calls service, which peers use, on s.
func (c *Calls) Register(s *grpc.Server) { callspb.RegisterCallsServer(s, c) }

// Run serves streams and submits background entries until ctx ends. It must be
// called once.
func (c *Calls) Run(ctx context.Context) {
	c.ctx = ctx
	close(c.ready)
	c.Loop.Post(c.tick)
	c.Loop.Every(ctx, tickPeriod, c.tick)
	c.runBackground(ctx)
}

// tick opens and maintains the streams for which this daemon is the first
// candidate, and closes streams that were not used for idleCloseAfter.
func (c *Calls) tick(now time.Time) {
	cfg := c.Config()
	if cfg == nil {
		return
	}
	live := c.View().Live()
	for n := range streamCount(cfg) {
		if first := candidates(live, n); len(first) > 0 && first[0].Name == c.Self {
			s := c.openStream(now, n)
			s.lastUsedAt = now
			s.maintain(now, horizon(cfg))
		}
	}
	for n, s := range c.streams {
		if now.Sub(s.lastUsedAt) > idleCloseAfter {
			s.stop()
			s.stopTimer()
			delete(c.streams, n)
			c.closedAt[n] = now
			continue
		}
		s.tick(now)
		c.drive(now, s)
	}
}

// openStream returns stream n. It starts a reader if the stream is not open.
func (c *Calls) openStream(now time.Time, n int) *openStream {
	if s, ok := c.streams[n]; ok {
		return s
	}
	ctx, stop := context.WithCancel(c.ctx)
	s := &openStream{
		stream: newStream(n, streamCount(c.Config()), later(c.started, c.closedAt[n])),
		name:   backing.StreamCalls + strconv.Itoa(n), lastUsedAt: now, stop: stop, wasAvailable: true,
	}
	c.streams[n] = s
	go c.follow(ctx, s)
	return s
}

// drive reports changes of a stream and performs the I/O that its state
// machine asks for.
func (c *Calls) drive(now time.Time, s *openStream) {
	c.reportAvailability(now, s)
	c.reportSnapshot(s)
	w := s.nextActions(now)
	if w.append != nil {
		go c.append(s, w.append)
	}
	if w.fetchBounds {
		go c.fetchBounds(s)
	}
	c.scheduleTick(now, s, w.tickAt)
}

func (c *Calls) reportSnapshot(s *openStream) {
	if s.latest == nil || s.latest.Id != s.ownSnapshot || s.reportedSnapshot == s.ownSnapshot {
		return
	}
	s.reportedSnapshot = s.ownSnapshot
	c.Recorder.Record(event.Event{ID: event.CallStreamSaved, Detail: s.name})
}

func (c *Calls) reportAvailability(now time.Time, s *openStream) {
	up := !s.logUnavailable(now)
	if up == s.wasAvailable {
		return
	}
	s.wasAvailable = up
	id := event.CallLogUnavailable
	if up {
		id = event.CallLogAvailable
	}
	c.Recorder.Record(event.Event{ID: id, Detail: s.name})
}

// scheduleTick sets the stream's timer to at, unless it already fires by then.
func (c *Calls) scheduleTick(now time.Time, s *openStream, at time.Time) {
	if at.IsZero() || (s.timer != nil && s.timerAt.After(now) && !at.Before(s.timerAt)) {
		return
	}
	s.stopTimer()
	s.timerAt = at
	s.timer = time.AfterFunc(at.Sub(now), func() { c.postUpdate(s, func(now time.Time) { s.tick(now) }) })
}

func (s *openStream) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// postUpdate runs f on the loop and drives s afterwards.
func (c *Calls) postUpdate(s *openStream, f func(now time.Time)) {
	c.Loop.Post(func(now time.Time) {
		f(now)
		c.drive(now, s)
	})
}

func (c *Calls) append(s *openStream, op *appendOp) {
	record, err := encode(op.batch)
	if err == nil {
		ctx, cancel := context.WithTimeout(c.ctx, appendTimeout)
		_, err = c.Log.Append(ctx, s.name, record)
		cancel()
	}
	c.postUpdate(s, func(now time.Time) { s.appendDone(now, op, err) })
}

func (c *Calls) fetchBounds(s *openStream) {
	ctx, cancel := context.WithTimeout(c.ctx, appendTimeout)
	defer cancel()
	first, next, err := c.Log.Bounds(ctx, s.name)
	c.postUpdate(s, func(now time.Time) { s.boundsDone(now, first, next, err) })
}

// candidates returns the daemons that may append for stream n, in order of
// preference.
func candidates(live []fleet.VM, n int) []fleet.VM {
	return fleet.Owners(live, backing.StreamCalls+strconv.Itoa(n), candidateCount)
}

func streamCount(cfg *config.Config) int {
	if cfg == nil || cfg.Calls.Streams <= 0 {
		return streamsDefault
	}
	return min(cfg.Calls.Streams, streamsMax)
}

func horizon(cfg *config.Config) time.Duration {
	if h := cfg.Calls.Horizon.Std(); h > 0 {
		return min(h, horizonMax)
	}
	return horizonDefault
}

func callWait(cfg *config.Config) time.Duration {
	if w := cfg.Calls.Wait.Std(); w > 0 {
		return w
	}
	return callWaitDefault
}

// ValidateChange returns an error if the two configurations differ in the
// number of streams: keys would be mapped to streams that hold no record of
// their earlier calls.
func ValidateChange(from, to *config.Config) error {
	if from == nil || streamCount(from) == streamCount(to) {
		return nil
	}
	return fmt.Errorf("calls.streams can't change from %d to %d: keys would move to streams that do not know them",
		streamCount(from), streamCount(to))
}

func newNonce() id {
	var n id
	_, _ = rand.Read(n[:])
	return n
}

func newIncarnation() uint64 {
	n, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<63))
	if err != nil {
		return uint64(time.Now().UnixNano())
	}
	return n.Uint64()
}
