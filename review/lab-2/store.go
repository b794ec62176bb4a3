//go:build review

package main

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

// partitions is the number of partitions of a topic.
const partitions = 12

// store is a stand-in of the platform's metadata store, in the form of a log. It loses
// nothing and answers at once.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	parts   map[string]*partition
	groups  map[string]*group
	changed chan struct{}
	era     uint64
	away    bool // it answers 503
}

type partition struct{ records [][]byte }

type group struct {
	generation  uint64
	order       []string
	seenAt      map[string]time.Time
	ttl         map[string]time.Duration
	generations map[string]uint64  // that each member named in its last join
	owner       [partitions]string // who is to have a partition
	has         [partitions]string // who has it
}

func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &store{listener: l, parts: make(map[string]*partition), groups: make(map[string]*group), changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	mux.HandleFunc("POST /log-join", s.handleJoin)
	mux.HandleFunc("POST /log-leave", s.handleLeave)
	mux.HandleFunc("GET /log-owners", s.handleOwners)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
			away := s.away
			s.mu.Unlock()
			if away {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a record of a keyed topic, as the operator and the replicas do. The time at
// which it returns is that of the acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, 0, append(record, value...))
	return time.Now()
}

// copy returns a function that brings the store back to its present state, as a restore
// from a copy does: what was written since is gone, offsets are given out again, and the
// era rises.
func (s *store) copy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make(map[string]int)
	for name, p := range s.parts {
		ends[name] = len(p.records)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, p := range s.parts {
			p.records = slices.Clone(p.records[:ends[name]])
		}
		s.groups = make(map[string]*group) // all members join again
		s.era++
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// setAway makes the store answer 503, or serve again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) part(topic string, n int) *partition {
	key := topic + "/" + strconv.Itoa(n)
	if s.parts[key] == nil {
		s.parts[key] = &partition{}
	}
	return s.parts[key]
}

func (s *store) add(topic string, n int, record []byte) {
	p := s.part(topic, n)
	p.records = append(p.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number(r, "part"))
	offset := len(p.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": offset})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.add(topic, number(r, "part"), slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": len(p.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	deadline := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.part(r.URL.Query().Get("topic"), number(r, "part")), s.changed
		end := len(p.records)
		if from > end {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range p.records[from:] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		s.mu.Unlock()
		if from < end {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), number(r, "part"))
	newest := make(map[string]item)
	for offset, record := range p.records {
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
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(p.records)})
}

type joinBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttlMs"`
	Generation uint64   `json:"generation"`
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{seenAt: make(map[string]time.Time), ttl: make(map[string]time.Duration), generations: make(map[string]uint64)}
		s.groups[name] = g
	}
	g.expire()
	return g
}

// expire drops the members that sent nothing for their ttl.
func (g *group) expire() {
	before := len(g.order)
	g.order = slices.DeleteFunc(g.order, func(m string) bool {
		gone := time.Since(g.seenAt[m]) > g.ttl[m]
		if gone {
			delete(g.generations, m)
		}
		return gone
	})
	if len(g.order) != before {
		g.assign()
	}
}

// assign distributes the partitions evenly in a new generation. Those whose member stays
// are left alone as far as that is even.
func (g *group) assign() {
	g.generation++
	if len(g.order) == 0 {
		g.owner = [partitions]string{}
		return
	}
	most := (partitions + len(g.order) - 1) / len(g.order)
	count := make(map[string]int)
	for i, m := range g.owner {
		if !slices.Contains(g.order, m) || count[m] >= most {
			g.owner[i] = ""
			continue
		}
		count[m]++
	}
	for i, m := range g.owner {
		if m != "" {
			continue
		}
		least := g.order[0]
		for _, o := range g.order {
			if count[o] < count[least] {
				least = o
			}
		}
		g.owner[i] = least
		count[least]++
	}
}

// settle gives each partition to its new owner once the old one is gone or has joined
// with this generation.
func (g *group) settle() {
	for i, owner := range g.owner {
		old := g.has[i]
		if old == "" || old == owner || !slices.Contains(g.order, old) || g.generations[old] >= g.generation {
			g.has[i] = owner
		}
	}
}

func (s *store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var b joinBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	g.seenAt[b.Member], g.ttl[b.Member] = time.Now(), time.Duration(b.TTL)*time.Millisecond
	if !slices.Contains(g.order, b.Member) {
		g.order = append(g.order, b.Member)
		g.assign()
	}
	g.generations[b.Member] = b.Generation
	g.settle()
	rows := [][]any{}
	for i, m := range g.has {
		if m == b.Member && g.owner[i] == b.Member {
			rows = append(rows, []any{b.Topics[0], i, 0})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var b joinBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	g.order = slices.DeleteFunc(g.order, func(m string) bool { return m == b.Member })
	delete(g.generations, b.Member)
	g.assign()
	g.settle()
	_, _ = w.Write([]byte("{}"))
}

func (s *store) handleOwners(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("group")
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for i, m := range s.group(name).has {
		if m != "" {
			rows = append(rows, []any{name, i, m, 0})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": rows})
}
