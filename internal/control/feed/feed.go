// Package feed lets few daemons of a data centre read the topics of a provider, and
// serve the records to the other daemons there. Those read from the provider
// themselves as soon as the feed fails them.
//
// See docs/design/store-readers.md.
package feed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/control/feed/feedpb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/peer"
)

const (
	// readWait is the longest time for which a reader holds a call.
	readWait = time.Second
	// replyTimeout is the time after readWait until a call fails.
	replyTimeout = 400 * time.Millisecond
	// proofAgeMax is the age of a reader's proof from which the reader is taken to have
	// lost the provider. It is longer than a reader waits for a record.
	proofAgeMax = 3 * time.Second
	// quickFailure is the longest duration of a failed call after which there is time to
	// call another reader.
	quickFailure = 100 * time.Millisecond
	// fallbackSpread is the longest wait before the first read from the provider after
	// the feed failed, so that daemons that lose a reader don't all read at once.
	fallbackSpread = 200 * time.Millisecond
	// promptReply is the longest time that a call may take besides that for which it was
	// held, for the times of its records to count as observed.
	promptReply = 60 * time.Millisecond
)

// Sources of a read, as passed to Options.OnRead.
const (
	SourceFeed     = "feed"
	SourceProvider = "provider"
)

// Options configures a Feed.
type Options struct {
	Self       string // name of this VM
	DataCentre string
	Recorder   event.Recorder
	// OnRead is called after each successful read with the topic, its source and the age
	// of the proof that it gave; nil: not called. It must not block.
	OnRead func(topic, source string, proofAge time.Duration)
}

// Feed holds the topics and serves them to other daemons. Create topics before the
// server runs.
type Feed struct {
	feedpb.UnimplementedFeedServer
	opts   Options
	topics map[string]*Topic

	mu   sync.Mutex
	pool *peer.Pool        // nil until Join
	view func() fleet.View // set by Join
}

// New returns a Feed that knows no other daemons.
func New(o Options) *Feed { return &Feed{opts: o, topics: make(map[string]*Topic)} }

// Join makes the other daemons known. Until then this daemon reads for itself.
func (f *Feed) Join(pool *peer.Pool, view func() fleet.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool, f.view = pool, view
}

// Register registers the gRPC service with server.
func (f *Feed) Register(server *grpc.Server) { feedpb.RegisterFeedServer(server, f) }

// Topic adds a topic that all daemons know by name.
func (f *Feed) Topic(name string) *Topic {
	t := &Topic{feed: f, name: name, tail: newTail(), source: newSource(f.opts.Self)}
	f.topics[name] = t
	return t
}

// readers returns the readers of a topic in this daemon's data centre, by name.
func (f *Feed) readers(topic string) (names []string, pool *peer.Pool, addresses map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		return nil, nil, nil
	}
	addresses = make(map[string]string)
	for _, vm := range readersOf(f.view().In(f.opts.DataCentre), topic) {
		names = append(names, vm.Name)
		addresses[vm.Name] = vm.PeerAddress
	}
	return names, f.pool, addresses
}

// Read implements the gRPC service.
func (f *Feed) Read(ctx context.Context, r *feedpb.ReadRequest) (*feedpb.ReadReply, error) {
	arrived := freshness.Now()
	t := f.topics[r.GetTopic()]
	if t == nil {
		return nil, status.Errorf(codes.NotFound, "unknown topic %.80q", r.GetTopic())
	}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, readWait)
	b, err := t.tail.await(ctx, r.GetEra(), r.GetFrom(), wait)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encode(b, arrived, freshness.Now()), nil
}

// encode returns the reply at now to a request that arrived at the given instant.
func encode(b Batch, arrived, now freshness.Instant) *feedpb.ReadReply {
	reply := &feedpb.ReadReply{
		Era: b.Era, From: b.From, HeldMs: uint32(now.Sub(arrived).Milliseconds()),
		Proved: b.Proved != 0, ProofAgeMs: ageMs(b.Proved, now), Regained: b.Regained != 0, RegainedAgeMs: ageMs(b.Regained, now),
	}
	for _, r := range b.Records {
		reply.Records = append(reply.Records, &feedpb.Record{Data: r.Data, AgeMs: ageMs(r.Since, now), Awaited: r.Awaited})
	}
	return reply
}

// ageMs returns the age at now in milliseconds, rounded up: a proof must not seem
// younger than it is.
func ageMs(at, now freshness.Instant) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds()+1, 0), math.MaxUint32))
}

// decode returns the batch of a reply to a call that was sent and received at the given
// instants. The reply was made at sent plus the time for which it was held, or later.
func decode(r *feedpb.ReadReply, sent, received freshness.Instant) Batch {
	made := sent.Add(time.Duration(r.GetHeldMs()) * time.Millisecond)
	at := func(ageMs uint32) freshness.Instant { return made.Add(-time.Duration(ageMs) * time.Millisecond) }
	b := Batch{Era: r.GetEra(), From: r.GetFrom()}
	if r.GetProved() {
		b.Proved = at(r.GetProofAgeMs())
	}
	if r.GetRegained() {
		b.Regained = at(r.GetRegainedAgeMs())
	}
	prompt := received.Sub(made) < promptReply
	for _, record := range r.GetRecords() {
		b.Records = append(b.Records, Record{Data: record.GetData(), Since: at(record.GetAgeMs()), Awaited: record.GetAwaited() && prompt})
	}
	return b
}

// Topic is a topic that this daemon follows. All methods of a nil Topic do nothing: the
// daemon reads for itself. Only Serves, Distrust and the server may be called at the same time
// as the other methods.
type Topic struct {
	feed   *Feed
	name   string
	tail   *tail
	source *source
}

// Serves reports whether this daemon reads the topic for others.
func (t *Topic) Serves() bool {
	if t == nil {
		return false
	}
	readers, _, _ := t.feed.readers(t.name)
	return t.source.isAmong(readers)
}

// Add tells what this daemon has read from the provider. The records begin at b.From,
// where the last ones ended.
func (t *Topic) Add(b Batch) {
	if t == nil {
		return
	}
	t.tail.add(b)
	t.onRead(SourceProvider, b)
}

// Reset tells that this daemon has read the newest record of each key, and goes on at
// next.
func (t *Topic) Reset(era uint64, next int64, proved freshness.Instant) {
	if t != nil {
		t.tail.reset(era, next, proved)
	}
}

// Lose tells that a read from the provider failed.
func (t *Topic) Lose(err error) {
	if t != nil {
		t.tail.lose(err)
	}
}

// Distrust makes this daemon read for itself for a while, since newer records are known
// to exist than those that it has.
func (t *Topic) Distrust() {
	if t != nil {
		t.source.distrust(freshness.Now(), rand.Float64())
	}
}

// Read reads from another daemon what follows the records before offset from, and waits
// a while if there is nothing. It reports false if this daemon must read from the
// provider.
func (t *Topic) Read(ctx context.Context, era uint64, from int64) (Batch, bool) {
	if t == nil {
		return Batch{}, false
	}
	readers, pool, addresses := t.feed.readers(t.name)
	var lost error
	for ctx.Err() == nil {
		began := freshness.Now()
		reader, ok := t.source.pick(readers, began)
		if !ok {
			break
		}
		t.tail.lose(errFed)
		b, err := t.call(ctx, pool, addresses[reader], era, from)
		if err == nil {
			t.succeeded(reader, b)
			return b, true
		}
		if ctx.Err() != nil {
			return Batch{}, false
		}
		lost = failure.At("read feed", reader, err)
		t.source.failed(reader, freshness.Now(), rand.Float64())
		if freshness.Now().Sub(began) > quickFailure {
			break
		}
	}
	if lost != nil {
		t.fallBack(ctx, lost)
	}
	return Batch{}, false
}

// call calls one reader and checks its reply.
func (t *Topic) call(ctx context.Context, pool *peer.Pool, address string, era uint64, from int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+replyTimeout)
	defer cancel()
	conn, err := pool.Conn(address)
	if err != nil {
		return Batch{}, err
	}
	sent := freshness.Now()
	reply, err := feedpb.NewFeedClient(conn).Read(ctx, &feedpb.ReadRequest{
		Topic: t.name, Era: era, From: from, WaitMs: uint32(readWait.Milliseconds()),
	})
	if err != nil {
		return Batch{}, err
	}
	received := freshness.Now()
	b := decode(reply, sent, received)
	return b, b.check(era, from, received)
}

// check returns an error unless b is a proper reply to a call for the records from an
// offset on.
func (b Batch) check(era uint64, from int64, now freshness.Instant) error {
	switch {
	case b.Era < era:
		return fmt.Errorf("era %d is older than %d", b.Era, era)
	case b.Era > era:
		return nil // the provider was restored
	case len(b.Records) > 0 && b.From != from:
		return fmt.Errorf("records from offset %d on, want %d", b.From, from)
	case b.Proved == 0:
		return errNoProof
	case now.Sub(b.Proved) > proofAgeMax:
		return fmt.Errorf("the proof is %v old", now.Sub(b.Proved))
	}
	return nil
}

// succeeded notes a proper reply of a reader.
func (t *Topic) succeeded(reader string, b Batch) {
	if t.source.succeeded(reader) {
		t.feed.opts.Recorder.Record(event.Event{ID: event.FeedRegained, Peer: reader, Step: "read feed", Detail: t.name})
	}
	t.onRead(SourceFeed, b)
}

// fallBack notes that this daemon reads from the provider since the feed failed.
func (t *Topic) fallBack(ctx context.Context, cause error) {
	if t.source.fellBack() {
		t.feed.opts.Recorder.Record(event.Event{ID: event.FeedLost, Step: "read feed", Detail: t.name, Err: cause})
	}
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(fallbackSpread)):
	}
}

func (t *Topic) onRead(source string, b Batch) {
	if t.feed.opts.OnRead != nil && b.Proved != 0 {
		t.feed.opts.OnRead(t.name, source, freshness.Now().Sub(b.Proved))
	}
}
