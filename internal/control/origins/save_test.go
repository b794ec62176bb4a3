package origins

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/rendezvous"
)

// fakeStreams is a StreamStore in memory whose pages hold few streams.
type fakeStreams struct {
	mu      sync.Mutex
	streams []StreamBuild
	appends int
	reads   int
	err     error // of all calls
}

const fakePage = 100 // streams of a page

func (f *fakeStreams) Append(_ context.Context, streams []StreamBuild) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	f.appends++
	f.streams = append(f.streams, streams...)
	return nil
}

func (f *fakeStreams) Read(_ context.Context, from Position) (StreamPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	end := min(int(from.Offset)+fakePage, len(f.streams))
	page := slices.Clone(f.streams[from.Offset:end])
	return StreamPage{Streams: page, Next: Position{Offset: int64(end)}, More: end < len(f.streams)}, f.err
}

// set makes all calls fail with err; nil: none.
func (f *fakeStreams) set(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

// storeOf returns the StreamStore that the nodes share.
func storeOf(nodes []*node) *fakeStreams { return nodes[0].opts.Streams.(*fakeStreams) }

// configure puts a route with resumable streams to the services in force at all nodes.
func configure(nodes []*node, version uint64, services ...string) {
	for _, n := range nodes {
		r := &catalog.Route{Host: "h", Prefix: "/", Kind: catalog.Stream, Resumable: true, Timeout: testWindow}
		c := &catalog.Config{Version: version, Routes: make(map[string][]*catalog.Route)}
		for _, s := range services {
			r.Shares = append(r.Shares, catalog.Share{Service: s, Weight: 1})
		}
		c.AddRoute(r)
		n.watcher.SetConfig(c)
	}
}

// putAll tells all nodes of an upstream.
func putAll(nodes []*node, id, software string) {
	for _, n := range nodes {
		n.putUpstream(id, software)
	}
}

// saveNow saves what a node has to save.
func (n *node) saveNow(t *testing.T) error {
	t.Helper()
	streams := n.streamsToSave(time.Now())
	if len(streams) == 0 {
		return nil
	}
	err := n.saveAtWriter(t.Context(), streams)
	if err == nil {
		n.unsaved.remove(streams)
	}
	return err
}

// restartedWith returns new nodes, which have no records, over the store of others.
func restartedWith(t *testing.T, before []*node, software ...string) []*node {
	t.Helper()
	for _, n := range before {
		n.stop()
	}
	nodes := startNodes(t, len(before))
	for _, n := range nodes {
		n.opts.Streams, n.streams = before[0].opts.Streams, newStreamLog(before[0].opts.Streams)
	}
	for i, s := range software {
		putAll(nodes, strconv.Itoa(i), s)
	}
	return nodes
}

// Guards against streams that nobody knows after a kill of all daemons: those that began
// while one version could be told from another only by a record must be found in the
// store, and the others without one.
func TestStreamsAreSavedWhereBuildsAreAmbiguous(t *testing.T) {
	v1 := catalog.BuildOf(testService, "v1")
	for name, tc := range map[string]struct {
		prepare func(nodes []*node) // before a stream begins at v1
		after   func(nodes []*node) // after that
		saved   bool
	}{
		"one version": {
			func([]*node) {}, func([]*node) {}, false,
		},
		"two versions": {
			func(nodes []*node) { putAll(nodes, "b", "v2") }, func([]*node) {}, true,
		},
		"the second version joins later": {
			func([]*node) {}, func(nodes []*node) { putAll(nodes, "b", "v2") }, true,
		},
		"the other version left, and is still in the store": {
			func(nodes []*node) {
				for _, n := range nodes {
					m := n.history.saved
					m.seenAt[SavedBuild{testService, catalog.BuildOf(testService, "v0")}] = time.Now().Add(-forgetAfter / 2)
				}
			}, func([]*node) {}, true,
		},
		"a second service joins the route later": {
			func([]*node) {},
			func(nodes []*node) {
				for _, n := range nodes {
					n.watcher.PutUpstream(&catalog.Upstream{ID: "c", Service: "other", Software: "v1"})
				}
				configure(nodes, 2, testService, "other")
			}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := startNodes(t, 4)
			configure(nodes, 1, testService)
			putAll(nodes, "a", "v1")
			tc.prepare(nodes)
			nodes[1].RecordBuild("first", v1)
			tc.after(nodes)
			if err := nodes[1].saveNow(t); err != nil {
				t.Fatal(err)
			}
			want := 0
			if tc.saved {
				want = 1
			}
			if got := len(storeOf(nodes).streams); got != want {
				t.Errorf("%d streams were saved, want %d", got, want)
			}
			if again := nodes[1].streamsToSave(time.Now()); len(again) > 0 {
				t.Errorf("%d streams are saved twice", len(again))
			}
		})
	}
}

// After a kill of all daemons, each must find the builds of all streams in the store,
// also while the daemon that looks them up doesn't answer.
func TestSavedStreamsAreFound(t *testing.T) {
	const streams = 5*fakePage + 7
	for name, writerOut := range map[string]bool{"writer answers": false, "writer is away": true} {
		t.Run(name, func(t *testing.T) {
			nodes := startNodes(t, 4)
			configure(nodes, 1, testService)
			putAll(nodes, "a", "v1")
			putAll(nodes, "b", "v2")
			builds := []catalog.Build{catalog.BuildOf(testService, "v1"), catalog.BuildOf(testService, "v2")}
			for i := range streams {
				nodes[i%4].RecordBuild(strconv.Itoa(i), builds[i%2])
			}
			for _, n := range nodes {
				if err := n.saveNow(t); err != nil {
					t.Fatal(err)
				}
			}
			nodes = restartedWith(t, nodes, "v1", "v2")
			vm, _ := writer(nodes[0].opts.View().Live())
			for _, n := range nodes {
				if writerOut && n.vm == vm {
					n.stop()
				}
			}
			for i := range streams {
				n := nodes[i%4]
				if writerOut && n.vm == vm {
					continue
				}
				if b, err := n.find(t, strconv.Itoa(i)); b != builds[i%2] || err != nil {
					t.Fatalf("stream %d at %s: build %d, %v, want %d", i, n.vm.Name, b, err, builds[i%2])
				}
			}
			if b, err := nodes[0].find(t, "never-seen"); b != 0 || err == nil {
				t.Errorf("a stream that nobody began has build %d, %v", b, err)
			}
		})
	}
}

// Guards against calls to the store whose number grows with the daemons that save and
// the callers that take streams up.
func TestCallsToTheStoreAreShared(t *testing.T) {
	const callers = 50
	store := &fakeStreams{}
	l := newStreamLog(store)
	var wg sync.WaitGroup
	for i := range uint64(callers) {
		wg.Go(func() {
			if err := l.save(t.Context(), []StreamBuild{{i + 1, 7}}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if store.appends > callers/10 {
		t.Errorf("%d appends for %d callers", store.appends, callers)
	}
	l = newStreamLog(store)
	for i := range uint64(callers) {
		wg.Go(func() {
			if b, err := l.find(t.Context(), callers+i); err != nil || (b != 0) != (i == 0) {
				t.Errorf("build %d, %v", b, err)
			}
		})
	}
	wg.Wait()
	if store.reads > callers/10 {
		t.Errorf("%d reads for %d callers", store.reads, callers)
	}
}

// A stream must be saved later if the store doesn't take it, and forgotten when callers
// can't resume it any more.
func TestUnsavedStreams(t *testing.T) {
	nodes := startNodes(t, 2)
	configure(nodes, 1, testService)
	putAll(nodes, "a", "v1")
	putAll(nodes, "b", "v2")
	store := storeOf(nodes)
	store.set(errors.New("away"))
	n := nodes[0]
	n.RecordBuild("first", catalog.BuildOf(testService, "v1"))
	if err := n.saveNow(t); err == nil {
		t.Error("a stream counts as saved though the store is away")
	}
	store.set(nil)
	if err := n.saveNow(t); err != nil || len(store.streams) != 1 || store.streams[0].Stream != rendezvous.Hash("first") {
		t.Errorf("%v, the store has %v", err, store.streams)
	}
	n.RecordBuild("second", catalog.BuildOf(testService, "v1"))
	if late := n.streamsToSave(time.Now().Add(lifetime + time.Second)); len(late) > 0 || len(n.unsaved.streams) > 0 {
		t.Errorf("%d streams are kept for too long", len(late))
	}
	for range unsavedMax + 1 {
		n.unsaved.add(StreamBuild{1, 1}, time.Now())
	}
	if got := len(n.unsaved.streams); got > unsavedMax {
		t.Errorf("%d streams wait to be saved", got)
	}
}
