package loads

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/config"
	pb "currantpulley/internal/control/loads/loadspb"
	"currantpulley/internal/fake/property"
	"currantpulley/internal/fleet"
	"currantpulley/internal/snapshot"
)

var (
	start       = time.Unix(1_700_000_000, 0)
	errNoAnswer = errors.New("no answer")
)

// site simulates the machines of one site. Messages arrive immediately or are
// lost.
type site struct {
	now      time.Time
	machines map[string]*machine
	names    []string
	actual   map[string]*Report // state of each engine; nil: does not answer
	stale    map[string]bool    // daemons that don't get new views
	loss     float64
	rand     *rand.Rand
	messages int
}

// engines returns a service and n engines.
func engines(n int) map[string]*config.Upstream {
	upstreams := map[string]*config.Upstream{"ledger": {Name: "ledger", Kind: config.KindService}}
	for i := range n {
		name := fmt.Sprintf("engine-%02d", i)
		upstreams[name] = &config.Upstream{Name: name, Kind: config.KindEngine, Address: name}
	}
	return upstreams
}

func newSite(daemons, upstreams int, seed uint64) *site {
	s := &site{now: start, machines: map[string]*machine{}, actual: map[string]*Report{}, stale: map[string]bool{}, rand: rand.New(rand.NewPCG(seed, 2))}
	for i := range daemons {
		s.names = append(s.names, fmt.Sprintf("vm-%02d", i))
	}
	for name, u := range engines(upstreams) {
		if u.Kind == config.KindEngine {
			s.actual[name] = &Report{Incarnation: "1", Weights: map[string]string{"m": "w1"}}
		}
	}
	for _, name := range s.names {
		s.start(name)
	}
	s.setViews()
	return s
}

func (s *site) start(name string) {
	opts := Options{Self: name}
	opts.setDefaults()
	s.machines[name] = newMachine(opts)
	s.machines[name].setUpstreams(engines(len(s.actual)))
}

func (s *site) setViews() {
	for _, self := range s.names {
		if s.machines[self] == nil || s.stale[self] {
			continue
		}
		view := fleet.View{Self: self}
		for _, name := range s.names {
			vm := fleet.VM{Name: name, Site: "s", State: fleet.Dead}
			if s.machines[name] != nil {
				vm.State = fleet.Alive
			}
			view.VMs = append(view.VMs, vm)
		}
		s.machines[self].setView(view)
	}
}

func (s *site) deliver(from *machine, msg message) {
	s.messages++
	to := s.machines[msg.hop.VM.Name]
	if to == nil || s.rand.Float64() < s.loss {
		fallback, ok := from.ring.Fallback(msg.hop)
		if to = s.machines[fallback.Name]; !ok || to == nil || s.rand.Float64() < s.loss {
			return
		}
	}
	for b := msg.batch; b != nil; {
		reply, urgent := to.receive(s.now, b)
		for _, next := range to.urgentMessages(urgent, int(b.GetLevel())) {
			if len(urgent) > 0 {
				s.deliver(to, next)
			}
		}
		b = from.handleReply(s.now, b, reply)
	}
}

func (s *site) poll(m *machine) {
	for _, u := range m.duePolls(s.now) {
		report, err := Report{}, errNoAnswer
		if r := s.actual[u.Name]; r != nil {
			report, err = *r, nil
		}
		if m.recordPoll(s.now, u.Name, report, err) {
			for _, msg := range m.urgentMessages([]string{u.Name}, 0) {
				s.deliver(m, msg)
			}
		}
	}
}

// run simulates a number of steps of pollTick each.
func (s *site) run(steps int) {
	for i := range steps {
		s.now = s.now.Add(pollTick)
		for _, name := range s.names {
			m := s.machines[name]
			if m == nil {
				continue
			}
			s.poll(m)
			if msg, ok := m.flush(i % 4); ok {
				s.deliver(m, msg)
			}
			if i%50 == 49 {
				s.pull(m)
			}
		}
	}
}

func (s *site) pull(m *machine) {
	for _, hop := range m.ring.Hops(0) {
		if donor := s.machines[hop.VM.Name]; donor != nil {
			m.receiveStates(s.now, donor.answerPull(m.pull()).GetStates())
			return
		}
	}
}

// mismatch describes a daemon's state of an engine that differs from the actual
// one; empty: there is none.
func (s *site) mismatch() string {
	for name, m := range s.machines {
		if m == nil {
			continue
		}
		for _, got := range m.states(s.now) {
			want := State{Health: snapshot.Down}
			if r := s.actual[got.Upstream]; r != nil {
				want = State{Health: healthOf(*r), Incarnation: r.Incarnation, Weights: r.Weights, Load: r.Load}
			}
			if got.Health != want.Health || want.Health != snapshot.Down && !sameState(got, want) {
				return fmt.Sprintf("%s has %+v, want %+v", name, got, want)
			}
			if want.Health == snapshot.Up && loadDiffers(got.Load, want.Load) {
				return fmt.Sprintf("%s has load %+v, want %+v", name, got.Load, want.Load)
			}
		}
	}
	return ""
}

// fault is one step of a fault sequence: the kind of fault, the daemon or engine
// that it affects and the steps to run afterwards.
type fault struct{ kind, index, steps int }

func (s *site) inject(f fault) {
	daemon := s.names[f.index%len(s.names)]
	upstream := fmt.Sprintf("engine-%02d", f.index%len(s.actual))
	report := s.actual[upstream]
	switch {
	case f.kind == 0 && f.index%len(s.names) > 0: // at least one daemon stays alive
		s.machines[daemon] = nil
		s.run(f.steps / 2) // before the others detect it
		s.setViews()
	case f.kind == 1:
		s.actual[upstream] = nil
	case f.kind == 2:
		s.actual[upstream] = &Report{Incarnation: fmt.Sprint(f.index), Weights: map[string]string{"m": "w2"}}
	case f.kind == 3 && report != nil:
		next := *report
		next.Load = snapshot.Load{Running: f.index, QueuedTokens: f.index * 640}
		s.actual[upstream] = &next
	case f.kind == 4 && report != nil:
		next := *report
		next.Loading = !next.Loading
		s.actual[upstream] = &next
	case f.kind == 5:
		s.loss = 0.4
	case f.kind == 6:
		s.stale[daemon] = true
	case f.kind == 7:
		s.start(daemon)
		s.setViews()
	}
	s.run(f.steps)
}

func TestAllDaemonsLearnActualStates(t *testing.T) {
	one := gopter.CombineGens(gen.IntRange(0, 7), gen.IntRange(0, 99), gen.IntRange(0, 30)).Map(
		func(v []any) fault { return fault{v[0].(int), v[1].(int), v[2].(int)} })
	properties := gopter.NewProperties(property.Parameters(300))
	properties.Property("all daemons have the actual states of the engines once the faults have ended", prop.ForAll(
		func(faults []fault, daemons, upstreams int, seed uint64) string {
			s := newSite(daemons, upstreams, seed)
			for _, f := range faults {
				s.inject(f)
			}
			s.loss = 0
			clear(s.stale)
			s.setViews()
			s.run(250)
			return s.mismatch()
		},
		gen.SliceOfN(8, one), gen.IntRange(1, 9), gen.IntRange(1, 12), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestStateChangesReachAllWithinTwoSeconds(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *Report) *Report
	}{
		{"dead", func(*Report) *Report { return nil }},
		{"loading", func(r *Report) *Report { r.Loading = true; return r }},
		{"leaving", func(r *Report) *Report { r.Leaving = true; return r }},
		{"new incarnation", func(r *Report) *Report { r.Incarnation = "2"; return r }},
		{"new weights", func(r *Report) *Report { r.Weights = map[string]string{"m": "w2"}; return r }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(13, 12, 5)
			s.run(30)
			changed := *s.actual["engine-03"]
			s.actual["engine-03"] = c.change(&changed)
			s.run(int(2 * time.Second / pollTick))
			if mismatch := s.mismatch(); mismatch != "" {
				t.Error(mismatch)
			}
		})
	}
}

func TestUnchangedLoadsAreNotSent(t *testing.T) {
	s := newSite(13, 12, 5)
	s.run(30)
	s.messages = 0
	s.run(50) // five seconds, shorter than the refresh period
	if s.messages > 0 {
		t.Errorf("%d messages while nothing changed", s.messages)
	}
}

func TestOwnAnswersOverrideMissedPolls(t *testing.T) {
	answered := start
	opts := Options{Self: "vm-00", LastAnswer: func(string) time.Time { return answered }}
	opts.setDefaults()
	m := newMachine(opts)
	m.setUpstreams(engines(1))
	for range opts.DownAfter {
		m.recordPoll(start, "engine-00", Report{}, errNoAnswer)
	}
	if got := m.states(start)[0].Health; got != snapshot.Unknown {
		t.Errorf("an engine that recently answered is %v, want unknown", got)
	}
	if got := m.states(start.Add(opts.AnswerValidity))[0].Health; got != snapshot.Down {
		t.Errorf("an engine that no longer answers is %v, want down", got)
	}
}

func TestInvalidBatchesAreIgnored(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(b *pb.Batch)
	}{
		{"of another site", func(b *pb.Batch) { b.Site = "other" }},
		{"of another list of upstreams", func(b *pb.Batch) { b.Dictionary++ }},
		{"with an unknown index", func(b *pb.Batch) { b.Step[0] = 99 }},
		{"with a short column", func(b *pb.Batch) { b.Running = nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newSite(2, 3, 1).machines["vm-00"]
			b := m.batch(0)
			b.States = []*pb.State{{Upstream: "engine-01", Sequence: 1}}
			m.receive(start, b)
			appendLoad(b, &record{index: 1, sequence: 9, stateCheck: stateCheckOf(State{}), state: State{Load: snapshot.Load{Running: 7}}}, 0)
			good := newSite(2, 3, 1).machines["vm-00"]
			if good.receive(start, b); good.states(start)[1].Load.Running != 7 {
				t.Fatal("the batch must be accepted before it is corrupted")
			}
			c.corrupt(b)
			m.receive(start, b)
			if got := m.states(start)[1].Load; got.Running != 0 {
				t.Errorf("the batch was applied: %+v", got)
			}
		})
	}
}

func TestQuantisedCountsAreClose(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the error is at most 4% plus one", prop.ForAll(
		func(v int) bool {
			got := dequantise(quantise(v))
			return max(got, v)-min(got, v) <= 1+v*4/100
		},
		gen.OneGenOf(gen.IntRange(0, 100), gen.IntRange(0, 10_000_000)),
	))
	properties.Property("sequence numbers within 2^15 of the known one are expanded correctly", prop.ForAll(
		func(known uint64, delta int64) bool {
			sequence := uint64(max(int64(known)+delta, 0))
			return expandSequence(uint16(sequence), known) == sequence
		},
		gen.UInt64Range(0, 1<<40), gen.Int64Range(-1<<15, 1<<15-1),
	))
	properties.TestingRun(t)
}
