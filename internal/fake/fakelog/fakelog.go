// Package fakelog is a fake of the platform's append-only log, served over HTTP.
package fakelog

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantpulley/internal/fake/fakehttp"
)

const maxRecordBytes = 16 << 20

// Faults are the faults that a Log injects. The zero value injects none.
type Faults struct {
	Outage           bool    `json:"outage"`             // respond with 503 to every request
	AbortBefore      int     `json:"lose_before"`        // number of appends to abort before they take effect
	AbortAfter       int     `json:"lose_after"`         // number of appends to abort after they took effect
	AppendDelayMS    int     `json:"append_delay_ms"`    // milliseconds before an append takes effect
	AppendsPerSecond float64 `json:"appends_per_second"` // rate limit, enforced with 429; 0: unlimited
	Retain           int     `json:"retain"`             // number of newest records retained per stream; 0: all
}

// record is one record in the form of the HTTP interface.
type record struct {
	Offset uint64    `json:"offset"`
	At     time.Time `json:"at"`
	Data   []byte    `json:"data"`
}

// stream is one stream of records.
type stream struct {
	first    uint64 // offset of records[0]
	records  []record
	appended chan struct{} // closed by the next append
}

// next returns the offset of the next record.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// Log is the fake log, an http.Handler. POST /faults sets its Faults.
type Log struct {
	mux     *http.ServeMux
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	streams map[string]*stream
}

// New returns an empty Log.
func New() *Log {
	l := &Log{mux: http.NewServeMux(), streams: make(map[string]*stream)}
	l.mux.HandleFunc("POST /faults", l.postFaults)
	l.mux.HandleFunc("POST /log/{stream}", l.append)
	l.mux.HandleFunc("GET /log/{stream}", l.read)
	l.mux.HandleFunc("GET /log/{stream}/bounds", l.bounds)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.limiter = nil
	if f.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(f.AppendsPerSecond), max(1, int(f.AppendsPerSecond/10)))
	}
	for _, s := range l.streams {
		l.trim(s)
	}
}

func (l *Log) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if fakehttp.ReadJSON(w, r, &f) {
		l.SetFaults(f)
		fakehttp.WriteJSON(w, http.StatusOK, f)
	}
}

// stream returns the named stream and creates it if needed. The caller holds the
// lock.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// trim deletes the records beyond the retention. The caller holds the lock.
func (l *Log) trim(s *stream) {
	if over := len(s.records) - l.faults.Retain; l.faults.Retain > 0 && over > 0 {
		s.records = append([]record(nil), s.records[over:]...)
		s.first += uint64(over)
	}
}

func (l *Log) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Outage
}

func writeUnavailable(w http.ResponseWriter) {
	http.Error(w, "the log is unavailable", http.StatusServiceUnavailable)
}

// admitAppend decides about an append before it takes effect. It returns the
// status to refuse it with, or 0, and whether to abort it after the delay.
func (l *Log) admitAppend() (delay time.Duration, status int, abort bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay = time.Duration(l.faults.AppendDelayMS) * time.Millisecond
	switch {
	case l.faults.Outage:
		return 0, http.StatusServiceUnavailable, false
	case l.limiter != nil && !l.limiter.Allow():
		return 0, http.StatusTooManyRequests, false
	case l.faults.AbortBefore > 0:
		l.faults.AbortBefore--
		return delay, 0, true
	}
	return delay, 0, false
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	delay, status, abort := l.admitAppend()
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	time.Sleep(delay)
	if abort {
		fakehttp.Abort()
	}
	offset, abort := l.appendRecord(r.PathValue("stream"), data)
	if abort {
		fakehttp.Abort()
	}
	fakehttp.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
}

// appendRecord appends data and reports whether to abort the response.
func (l *Log) appendRecord(name string, data []byte) (offset uint64, abort bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset = s.next()
	s.records = append(s.records, record{offset, time.Now(), data})
	l.trim(s)
	close(s.appended)
	s.appended = make(chan struct{})
	if l.faults.AbortAfter > 0 {
		l.faults.AbortAfter--
		return offset, true
	}
	return offset, false
}

// queryUint returns a query parameter, or 0 if it is missing or malformed.
func queryUint(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	return n
}

// read returns records from an offset on. If there are none yet, it waits for the
// time in the query parameter wait_ms.
func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, limit := max(1, queryUint(r, "from")), int(min(1<<20, queryUint(r, "limit")))
	timeout := time.NewTimer(time.Duration(queryUint(r, "wait_ms")) * time.Millisecond)
	defer timeout.Stop()
	for {
		if l.isDown() {
			writeUnavailable(w)
			return
		}
		records, trimmed, appended := l.recordsFrom(r.PathValue("stream"), from, limit)
		if trimmed {
			http.Error(w, "trimmed", http.StatusGone)
			return
		}
		if len(records) > 0 {
			fakehttp.WriteJSON(w, http.StatusOK, map[string][]record{"records": records})
			return
		}
		select {
		case <-appended:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			fakehttp.WriteJSON(w, http.StatusOK, map[string][]record{"records": {}})
			return
		}
	}
}

// recordsFrom returns up to limit records from offset from on, whether that
// offset was trimmed, and a channel that is closed by the next append.
func (l *Log) recordsFrom(name string, from uint64, limit int) (records []record, trimmed bool, appended <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if from < s.first {
		return nil, true, nil
	}
	if from < s.next() {
		records = s.records[from-s.first:]
		records = records[:min(limit, len(records))]
	}
	return records, false, s.appended
}

func (l *Log) bounds(w http.ResponseWriter, r *http.Request) {
	if l.isDown() {
		writeUnavailable(w)
		return
	}
	l.mu.Lock()
	s := l.stream(r.PathValue("stream"))
	first, next := s.first, s.next()
	l.mu.Unlock()
	fakehttp.WriteJSON(w, http.StatusOK, map[string]uint64{"first": first, "next": next})
}
