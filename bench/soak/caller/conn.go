package caller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// conn is a caller's connection to a daemon.
type conn struct {
	net.Conn
	in     *bufio.Reader
	daemon string
	used   bool // has served a request
}

func dial(daemon string) (*conn, error) {
	c, err := net.DialTimeout("tcp", daemon, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReader(c), daemon: daemon}, nil
}

func (c *conn) close() { _ = c.Close() }

// closeWrite closes the caller's side of the connection.
func (c *conn) closeWrite() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// lookTime is the time for which a caller looks for unexpected bytes.
const lookTime = time.Millisecond

// look looks for bytes on a kept connection with no request waiting. gone means that
// the connection can't be used any more. problem is set if a success came.
func (c *conn) look() (problem string, gone bool) {
	_ = c.SetReadDeadline(time.Now().Add(lookTime))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := c.in.Peek(1); err != nil {
		return "", !errors.Is(err, os.ErrDeadlineExceeded)
	}
	res, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_ = res.Body.Close()
	}
	if err == nil && res.StatusCode/100 == 2 {
		return fmt.Sprintf("status %d without a request, for attempt %q", res.StatusCode, res.Header.Get(names.AttemptID)), true
	}
	return "", true
}

// giveUp is the time beyond an attempt's limit after which a caller gives up.
const giveUp = site.AnswerSlack + 2*time.Second

// send writes an attempt. It returns false if the connection is gone.
func (c *conn) send(a *attempt) bool {
	a.call.Daemon, a.call.Reused, a.call.Sent = c.daemon, c.used, time.Now()
	_ = c.SetDeadline(a.call.Sent.Add(a.call.Limit + giveUp))
	if _, err := io.WriteString(c, a.text()); err != nil {
		a.end(outcomeOf(err, record.Closed))
		return false
	}
	return true
}

// sendAndClose sends an attempt and the end of the connection in one segment, so that
// a daemon reads the one when it could know of the other.
func (c *conn) sendAndClose(a *attempt) {
	a.call.Daemon, a.call.Reused, a.call.Sent = c.daemon, c.used, time.Now()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		setCork(tcp)
	}
	_, _ = io.WriteString(c, a.text())
	c.close()
}

// setCork makes the kernel keep what is written until the connection is closed. A failure
// shows as a segment more.
func setCork(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
}

// outcomeOf returns the outcome of an attempt that failed with err: Late if the
// caller gave up waiting, else other.
func outcomeOf(err error, other record.Outcome) record.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return record.Late
	}
	return other
}

// receive reads the answer to an attempt. It returns whether the connection can be
// used again.
func (c *conn) receive(a *attempt) bool {
	c.used = true
	_ = c.SetReadDeadline(a.call.Sent.Add(a.call.Limit + giveUp))
	if _, err := c.in.Peek(1); err != nil {
		a.end(outcomeOf(err, record.Closed))
		return false
	}
	res, err := http.ReadResponse(c.in, &http.Request{Method: a.method})
	if err != nil {
		a.end(outcomeOf(err, record.Broken))
		return false
	}
	defer func() { _ = res.Body.Close() }()
	c.readHead(a, res)
	if a.route.Stream() && res.StatusCode == http.StatusOK {
		err = a.readEvents(res.Body)
	} else {
		err = a.readBody(res)
	}
	if err != nil {
		a.end(outcomeOf(err, record.Broken))
		return false
	}
	a.end(record.Answered)
	return !res.Close
}

// readHead records the head of an answer.
func (c *conn) readHead(a *attempt, res *http.Response) {
	a.call.Status, a.call.Seal = res.StatusCode, res.Header.Get(names.Signature)
	if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(after * float64(time.Second))
	}
	if id := res.Header.Get(names.AttemptID); id != "" && id != a.call.Attempt {
		a.problem("the answer is that to attempt %s", id)
	}
	if res.StatusCode/100 == 2 && a.call.Seal == "" {
		a.problem("the success is not signed")
	}
}

// problem records what is wrong with the answer. The first problem counts.
func (a *attempt) problem(format string, args ...any) {
	if a.call.Problem == "" {
		a.call.Problem = fmt.Sprintf(format, args...)
	}
}

// maxKept is the number of bytes of a body that a caller keeps.
const maxKept = 1 << 20

// readBody reads an answer's body and checks that of a success.
func (a *attempt) readBody(res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxKept))
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode/100 == 2 && a.method != http.MethodHead {
		if problem := record.CheckBody(a.call.Attempt, a.call.Seal, string(body)); problem != "" {
			a.problem("%s", problem)
		}
	}
	return nil
}

// errWithinEvent is the error of a stream that ends within an event.
var errWithinEvent = errors.New("the stream ends within an event")

// readEvents reads the events of a stream. It checks that each is the one after the
// one before, and that a stream that seems complete has all.
func (a *attempt) readEvents(body io.Reader) error {
	in := bufio.NewReader(body)
	last, pending := a.lastEvent, ""
	for {
		line, err := in.ReadString('\n')
		pending += line
		if errors.Is(err, io.EOF) {
			return a.endOfStream(last, pending)
		}
		if err != nil {
			return err
		}
		if line != "\n" {
			continue
		}
		e, ok := parseEvent(pending)
		if !ok || e.ID != last+1 {
			a.problem("event %q after event %d", shorten(pending), last)
		}
		a.call.Events = append(a.call.Events, e)
		last, pending = e.ID, ""
	}
}

func (a *attempt) endOfStream(last int, pending string) error {
	if pending != "" {
		return errWithinEvent
	}
	if last != a.events {
		a.problem("the stream is complete with event %d of %d", last, a.events)
	}
	return nil
}

// parseEvent parses the text of an event.
func parseEvent(text string) (record.Event, bool) {
	var e record.Event
	var number, total int
	_, err := fmt.Sscanf(text, "id: %d\ndata: %s %d/%d\n\n", &e.ID, &e.Software, &number, &total)
	return e, err == nil && number == e.ID
}

// shorten returns the beginning of a text.
func shorten(text string) string {
	const length = 60
	return strings.ToValidUTF8(text[:min(len(text), length)], "?")
}
