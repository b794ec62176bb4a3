//go:build review

// Package lab has what the cases under review/ have in common: stand-ins of the
// platform's store, of replicas and of callers, and the start of daemons as processes.
package lab

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const partitions = 12 // of each topic of a group

// Store is a stand-in of the platform's store, as PROTOCOL.md describes it. Each
// machine reaches it at an address of its own, so that it can turn one of them away.
type Store struct {
	mu      sync.Mutex
	era     uint64
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
	away    bool         // it answers nobody
	refused map[int]bool // machines that are answered 503
	hung    map[int]bool // machines that get no answer
	log     func(format string, args ...any)
}

// topic is partition 0 of a topic.
type topic struct{ records [][]byte }

// group assigns partitions to members.
type group struct {
	generation uint64
	members    []*member
	owner      [partitions]string // "": none
	target     [partitions]string
	since      [partitions]uint64 // generation in which target was set
}

type member struct {
	name  string
	seen  uint64 // generation that it sent last
	until time.Time
}

// NewStore returns an empty store.
func NewStore(log func(format string, args ...any)) *Store {
	return &Store{
		era: 1, topics: make(map[string]*topic), groups: make(map[string]*group), changed: make(chan struct{}),
		refused: make(map[int]bool), hung: make(map[int]bool), log: log,
	}
}

// Listen serves the store for one machine and returns the address.
func (s *Store) Listen(machine int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// SetAway makes the store answer nobody, or everybody again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// Refuse makes the store turn one machine away with 503, or serve it again.
func (s *Store) Refuse(machine int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = refused
	s.wake()
}

// Hang makes the store leave the calls of one machine without an answer, or serve it
// again.
func (s *Store) Hang(machine int, hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung[machine] = hung
	s.wake()
}

// Put writes a record of a keyed topic, as the operator and the replicas do. It returns
// false if the store is away.
func (s *Store) Put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
	return true
}

// Era returns the era of the store, and false while it is away.
func (s *Store) Era() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, !s.away
}

// Copy returns a function that restores the store to its present state.
func (s *Store) Copy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make(map[string]int)
	for name, t := range s.topics {
		ends[name] = len(t.records)
	}
	groups := make(map[string]group)
	for name, g := range s.groups {
		c := *g
		c.members = nil
		for _, m := range g.members {
			copied := *m
			c.members = append(c.members, &copied)
		}
		groups[name] = c
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, t := range s.topics {
			t.records = slices.Clone(t.records[:min(len(t.records), ends[name])])
		}
		for name := range s.groups {
			delete(s.groups, name)
		}
		for name, g := range groups {
			s.groups[name] = &g
			for _, m := range g.members { // its time starts anew
				m.until = time.Now().Add(2 * time.Second)
			}
		}
		s.era++
		s.wake()
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(name string, record []byte) int {
	t := s.topic(name)
	t.records = append(t.records, record)
	s.wake()
	return len(t.records) - 1
}

// state returns whether a machine is served now.
func (s *Store) state(machine int) (away, refused, hung bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.refused[machine], s.hung[machine], s.changed
}

func (s *Store) serve(machine int, w http.ResponseWriter, r *http.Request) {
	switch away, refused, hung, _ := s.state(machine); {
	case away:
		panic(http.ErrAbortHandler)
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hung:
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(machine, w, r)
	case "/log-newest":
		s.newest(w, r)
	case "/log-join":
		s.join(w, r)
	case "/log-leave":
		s.leave(w, r)
	case "/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	offset := len(s.topic(name).records)
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.add(name, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": len(s.topic(name).records)})
}

func (s *Store) read(machine int, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for timeUp := wait == 0; ; {
		s.mu.Lock()
		records, changed := s.topic(q.Get("topic")).records, s.changed
		if from > len(records) {
			s.setEra(w)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(records) || timeUp {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			s.setEra(w)
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			if away, refused, hung, _ := s.state(machine); away || refused || hung {
				panic(http.ErrAbortHandler)
			}
		case <-deadline:
			timeUp = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]item)
	t := s.topic(r.URL.Query().Get("topic"))
	for offset, record := range t.records {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
		}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	s.setEra(w)
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}

type memberCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttlMs"`
	Generation uint64   `json:"generation"`
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var c memberCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[c.Group]
	if g == nil {
		g = &group{}
		s.groups[c.Group] = g
	}
	g.lapse(s.log)
	m := g.find(c.Member)
	if m == nil {
		m = &member{name: c.Member}
		g.members = append(g.members, m)
		g.assign()
	}
	m.seen, m.until = max(m.seen, c.Generation), time.Now().Add(time.Duration(c.TTL)*time.Millisecond)
	g.release(s.log)
	rows := [][]any{}
	for part := range partitions {
		if g.owner[part] == c.Member && g.target[part] == c.Member {
			rows = append(rows, []any{c.Topics[0], part, 0})
		}
	}
	s.setEra(w)
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": g.generation, "parts": rows})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var c memberCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if g := s.groups[c.Group]; g != nil {
		g.remove(c.Member)
		g.release(s.log)
	}
	_, _ = io.WriteString(w, "{}")
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("group")
	rows := [][]any{}
	if g := s.groups[name]; g != nil {
		g.lapse(s.log)
		for part, m := range g.owner {
			if m != "" {
				rows = append(rows, []any{name, part, m, 0})
			}
		}
	}
	s.setEra(w)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": rows})
}

func (g *group) find(name string) *member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// lapse removes the members that have sent nothing for their time.
func (g *group) lapse(log func(string, ...any)) {
	for _, m := range slices.Clone(g.members) {
		if time.Now().After(m.until) {
			g.remove(m.name)
		}
	}
	g.release(log)
}

func (g *group) remove(name string) {
	if g.find(name) == nil {
		return
	}
	g.members = slices.DeleteFunc(g.members, func(m *member) bool { return m.name == name })
	for part := range partitions {
		if g.owner[part] == name {
			g.owner[part] = ""
		}
	}
	g.assign()
}

// assign distributes the partitions evenly, with as few moves as that takes.
func (g *group) assign() {
	g.generation++
	count := make(map[string]int)
	for _, m := range g.members {
		count[m.name] = 0
	}
	for _, t := range g.target {
		if _, ok := count[t]; ok {
			count[t]++
		}
	}
	least := func() (name string) {
		for _, m := range g.members {
			if name == "" || count[m.name] < count[name] {
				name = m.name
			}
		}
		return name
	}
	move := func(part int, to string) {
		count[g.target[part]]--
		g.target[part], g.since[part] = to, g.generation
		count[to]++
	}
	for part := range partitions {
		if _, ok := count[g.target[part]]; !ok {
			delete(count, g.target[part])
			g.target[part], g.since[part] = "", g.generation
			if to := least(); to != "" {
				g.target[part] = to
				count[to]++
			}
		}
	}
	for part := partitions - 1; part >= 0; part-- {
		if to := least(); to != "" && count[g.target[part]] > count[to]+1 {
			move(part, to)
		}
	}
}

// release hands partitions over whose owner has left or knows that it lost them.
func (g *group) release(log func(string, ...any)) {
	for part := range partitions {
		if g.owner[part] == g.target[part] {
			continue
		}
		if m := g.find(g.owner[part]); m == nil || m.seen >= g.since[part] {
			if part == 0 {
				log("store: partition 0 goes from %q to %q in generation %d", g.owner[part], g.target[part], g.generation)
			}
			g.owner[part] = g.target[part]
		}
	}
}
