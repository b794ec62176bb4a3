package catalog

import (
	"testing"
	"time"
)

func TestPickServiceFollowsWeights(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	count := make(map[string]int)
	for hash := range uint64(1000) {
		count[r.PickService(hash)]++
	}
	if count["a"] != 900 || count["b"] != 0 || count["c"] != 100 {
		t.Errorf("%v", count)
	}
	if got := (&Route{Shares: []Share{{"a", 0}}}).PickService(1); got != "" {
		t.Errorf("a service with weight 0 gets requests: %q", got)
	}
}

// The age of a version counts from the announcement of the next newer version,
// also when further versions followed.
func TestBehindCountsFromTheFirstNewerVersion(t *testing.T) {
	at := time.Unix(100, 0)
	w := WeightsTarget{}.withNewest(announcement{Announcement: Announcement{Version: 2, At: at}}).withNewest(announcement{Announcement: Announcement{Version: 3, At: at.Add(4 * time.Second)}})
	now := at.Add(10 * time.Second)
	for _, tc := range []struct {
		version uint64
		age     time.Duration
		behind  bool
	}{{1, 10 * time.Second, true}, {2, 6 * time.Second, true}, {3, 0, false}, {4, 0, false}} {
		if age, behind := w.Behind(tc.version, now); age != tc.age || behind != tc.behind {
			t.Errorf("version %d: %v, %t", tc.version, age, behind)
		}
	}
	for v := range uint64(3 * maxAnnouncements) {
		w = w.withNewest(announcement{Announcement: Announcement{Version: 10 + v, At: now}})
	}
	if len(w.announcements) != maxAnnouncements {
		t.Errorf("%d announcements are kept", len(w.announcements))
	}
}

func TestWatcherIgnoresOlderVersions(t *testing.T) {
	w := NewWatcher()
	if !w.SetConfig(&Config{Version: 5}) || w.SetConfig(&Config{Version: 4}) || w.Load().Config.Version != 5 {
		t.Error("an older configuration was taken")
	}
	now := time.Now()
	if !w.SetTarget("m", Announcement{Version: 3, At: now}) || w.SetTarget("m", Announcement{Version: 2, At: now}) || w.Load().Weights["m"].Version != 3 {
		t.Error("an older weights version was taken")
	}
}

// A snapshot that a reader holds must not change with later updates.
func TestSnapshotsAreImmutable(t *testing.T) {
	w := NewWatcher()
	w.PutUpstream(&Upstream{ID: "a", Service: "s"})
	before := w.Load()
	changed := w.Changed()
	w.PutUpstream(&Upstream{ID: "b", Service: "s"})
	w.RemoveUpstream("a")
	select {
	case <-changed:
	default:
		t.Error("the channel was not closed after a change")
	}
	if len(before.UpstreamsOf("s")) != 1 || before.UpstreamsOf("s")[0].ID != "a" {
		t.Error("an older snapshot changed")
	}
	if now := w.Load().UpstreamsOf("s"); len(now) != 1 || now[0].ID != "b" {
		t.Errorf("%v", now)
	}
}

// A daemon that starts does not know when a version was announced. Its estimate
// must be replaced by the first time that another daemon reports, must not be
// replaced again, and must not be reported to others.
func TestEstimatedAnnouncementIsReplaced(t *testing.T) {
	at := time.Unix(100, 0)
	w := NewWatcher()
	w.SetEstimatedTarget("m", 2, at)
	if n := w.Load().Weights["m"].Announcements(4); len(n) != 0 {
		t.Errorf("an estimated time is reported to others: %v", n)
	}
	w.LearnAnnouncement("m", Announcement{Version: 3, At: at.Add(time.Second)})
	w.LearnAnnouncement("m", Announcement{Version: 2, At: at.Add(2 * time.Second)})
	w.LearnAnnouncement("m", Announcement{Version: 2, At: at.Add(3 * time.Second)})
	if n := w.Load().Weights["m"].Announcements(4); len(n) != 1 || !n[0].At.Equal(at.Add(2*time.Second)) {
		t.Errorf("%v", n)
	}
}

// The age of an engine that is several versions behind counts from the first
// version that it misses, also on a daemon that started after the announcement
// of that version.
func TestMissedAnnouncementIsLearned(t *testing.T) {
	at := time.Unix(100, 0)
	w := NewWatcher()
	w.SetEstimatedTarget("m", 4, at.Add(10*time.Second))
	w.LearnAnnouncement("m", Announcement{Version: 3, At: at})
	w.LearnAnnouncement("m", Announcement{Version: 3, At: at.Add(time.Second)})
	w.LearnAnnouncement("m", Announcement{Version: 5, At: at})
	target := w.Load().Weights["m"]
	if target.Version != 4 {
		t.Errorf("another daemon's report changed the target to version %d", target.Version)
	}
	if age, behind := target.Behind(2, at.Add(10*time.Second)); !behind || age != 10*time.Second {
		t.Errorf("version 2 is behind for %v, %t", age, behind)
	}
}

// A daemon that is short of processor time may take a record that was there before
// for one that it waited for, and learn a version late. The earliest time that any
// waiting daemon reports must replace its own, and any such time one that is only
// the earliest possible.
func TestEarliestObservedTimeOfAnAnnouncementCounts(t *testing.T) {
	at := time.Unix(100, 0)
	observed := func(after time.Duration) Announcement {
		return Announcement{Version: 2, At: at.Add(after), Observed: true}
	}
	earliest := func(after time.Duration) Announcement { return Announcement{Version: 2, At: at.Add(after)} }
	for _, tc := range []struct {
		name          string
		own, reported Announcement
		want          Announcement
	}{
		{"learned late", observed(3 * time.Second), observed(0), observed(0)},
		{"reported late", observed(0), observed(3 * time.Second), observed(0)},
		{"known since the last read", earliest(0), observed(2 * time.Second), observed(2 * time.Second)},
		{"reported since the last read", observed(2 * time.Second), earliest(0), observed(2 * time.Second)},
		{"hardly earlier", observed(minTimeGain), observed(1), observed(minTimeGain)},
		{"both since the last read", earliest(time.Second), earliest(0), earliest(time.Second)},
	} {
		w := NewWatcher()
		w.SetTarget("m", tc.own)
		w.LearnAnnouncement("m", tc.reported)
		if n := w.Load().Weights["m"].Announcements(1); n[0] != tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, n[0], tc.want)
		}
	}
}

// An address belongs to the upstream that started last, also to one of another service.
func TestReplacedUpstreams(t *testing.T) {
	w := NewWatcher()
	old := &Upstream{ID: "a", Service: "s", Address: "x:1", Started: 1}
	later := &Upstream{ID: "b", Service: "other", Address: "x:1", Started: 2}
	elsewhere := &Upstream{ID: "c", Service: "s", Address: "x:2", Started: 1}
	for _, u := range []*Upstream{old, later, elsewhere} {
		w.PutUpstream(u)
	}
	s := w.Load()
	if !s.IsReplaced(old) || s.IsReplaced(later) || s.IsReplaced(elsewhere) {
		t.Errorf("replaced: %t, %t, %t", s.IsReplaced(old), s.IsReplaced(later), s.IsReplaced(elsewhere))
	}
	w.RemoveUpstream(later.ID)
	if w.Load().IsReplaced(old) {
		t.Error("still replaced after the other one has gone")
	}
}
