// Package caller is a stand-in of callers. They write requests byte by byte on kept
// connections, and record for each attempt what they got.
package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// Options configure a group of callers.
type Options struct {
	Plan    *plan.Plan
	Callers int
	Until   time.Time
	Records *record.Log
	Log     zerolog.Logger
}

// Times of a caller.
const (
	dialTimeout = time.Second
	meanThink   = 45 * time.Millisecond
	burstThink  = 8 * time.Millisecond
	burstEvery  = 6 * time.Second
	burstLength = 1500 * time.Millisecond
	redialPause = 30 * time.Millisecond
)

// Shares of requests with which callers do something unusual.
const (
	leaveShare     = 0.08 // close the connection before the answer
	atOnceShare    = 0.01 // close the connection together with the request
	partShare      = 0.6  // of those that leave: send a part of the next request first
	halfCloseShare = 0.02 // close their side after the request
	earlyShare     = 0.04 // send the next request before the answer
	lookShare      = 0.5  // look for unexpected bytes before they use a kept connection again
	redialShare    = 0.02 // use a new connection although the old one is sound
)

// Run plays all callers until the time is over.
func Run(ctx context.Context, o Options) error {
	var all sync.WaitGroup
	for i := range o.Callers {
		c := &caller{opts: o, number: i, random: rand.New(rand.NewPCG(o.Plan.Seed, uint64(10_000+i)))} //nolint:gosec // no secure source needed
		all.Go(func() { c.run(ctx) })
	}
	all.Wait()
	return nil
}

// caller is one caller. It sends one request after the other.
type caller struct {
	opts     Options
	number   int
	random   *rand.Rand
	requests int
	conn     *conn // kept; nil: none
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil && time.Now().Before(c.opts.Until) {
		time.Sleep(c.think())
		if c.conn != nil && c.chance(redialShare) {
			c.drop()
		}
		if c.conn == nil && !c.dial() {
			time.Sleep(redialPause)
			continue
		}
		c.use()
	}
	c.drop()
}

// think returns the pause before the next request. All callers hurry at the same
// times.
func (c *caller) think() time.Duration {
	mean := meanThink
	if time.Since(c.opts.Plan.Start)%burstEvery < burstLength {
		mean = burstThink
	}
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}

func (c *caller) chance(p float64) bool { return c.random.Float64() < p }

// drop closes the kept connection.
func (c *caller) drop() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// dial opens the kept connection to a daemon drawn at random.
func (c *caller) dial() bool {
	conn, err := dial(c.daemon())
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) daemon() string {
	return c.opts.Plan.Daemons[c.random.IntN(len(c.opts.Plan.Daemons))]
}

// use sends one request, or two at once, on the kept connection.
func (c *caller) use() {
	if c.conn.used && c.chance(lookShare) {
		if problem, gone := c.conn.look(); gone {
			c.recordUnasked(problem)
			c.drop()
			return
		}
	}
	first := c.newAttempt(c.newRequest())
	if !c.chance(earlyShare) {
		c.exchange(first)
		return
	}
	second := c.newAttempt(c.newRequest())
	second.call.Early = true
	second.call.Limit += first.call.Limit // it isn't read before the first is answered
	c.exchangeBoth(first, second)
}

// exchange sends an attempt on the kept connection, receives its answer and retries
// if that is allowed.
func (c *caller) exchange(a *attempt) {
	if c.chance(atOnceShare) {
		c.conn.sendAndClose(a)
		c.recordLeft(a)
		return
	}
	kept := c.conn.send(a)
	switch {
	case kept && c.chance(leaveShare):
		c.leave(a)
		return
	case kept && c.chance(halfCloseShare):
		c.conn.closeWrite()
		a.call.Half = true
		c.conn.receive(a)
		kept = false
	case kept:
		if c.plant(check.RuleLate) {
			time.Sleep(a.call.Limit + site.AnswerSlack + retryPause)
		}
		kept = c.conn.receive(a)
		if c.plant(check.RuleLost) {
			a.end(record.Closed)
		}
	}
	c.record(a)
	if !kept {
		c.drop()
	}
	c.retry(a)
}

// plantedShare is the share of the answers with a planted fault.
const plantedShare = 0.02

// plant reports whether the caller breaks a rule on purpose now.
func (c *caller) plant(rule string) bool {
	return c.opts.Plan.Plants(rule) && c.chance(plantedShare)
}

// leave closes the connection before the answer.
func (c *caller) leave(a *attempt) {
	if c.chance(partShare) {
		_, _ = io.WriteString(c.conn, partOfNext)
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(maxStay))))
	c.recordLeft(a)
}

// partOfNext is a part of a request, larger than what daemons buffer.
var partOfNext = "POST /next HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("b", 8<<10)

// recordLeft drops the connection and records an attempt whose caller has left.
func (c *caller) recordLeft(a *attempt) {
	c.drop()
	a.call.Done, a.call.Outcome = time.Now(), record.Left
	if c.opts.Plan.Plants(check.RuleGone) {
		a.call.Done = a.call.Sent.Add(-site.AnswerSlack)
	}
	c.record(a)
}

// maxStay is the longest time after which a caller leaves.
const maxStay = 80 * time.Millisecond

// exchangeBoth sends two attempts at once and receives both answers.
func (c *caller) exchangeBoth(first, second *attempt) {
	kept := c.conn.send(first)
	if kept {
		kept = c.conn.send(second)
	}
	for _, a := range []*attempt{first, second} {
		if kept {
			kept = c.conn.receive(a)
		} else {
			a.end(record.Closed)
		}
		c.record(a)
	}
	if !kept {
		c.drop()
	}
	c.retry(first)
	c.retry(second)
}

// Limits of retries.
const (
	maxRetries      = 3
	retryPause      = 20 * time.Millisecond
	minRetryTime    = 100 * time.Millisecond
	waitShareOfLeft = 3 // a caller waits at most this part of the time it has left
)

// retry repeats a request, each time with a new attempt id on a new connection, as
// long as the answers allow it.
func (c *caller) retry(a *attempt) {
	for range maxRetries {
		left := time.Until(a.deadline)
		if !a.mayRetry() || left < minRetryTime {
			return
		}
		time.Sleep(min(max(a.retryAfter, retryPause), left/waitShareOfLeft))
		conn, err := dial(c.daemon())
		if err != nil {
			continue
		}
		a = c.nextAttempt(a)
		if conn.send(a) {
			conn.receive(a)
		}
		conn.close()
		c.record(a)
	}
}

func (c *caller) record(a *attempt) {
	if c.opts.Plan.Plants(check.RuleCut) && a.call.Daemon == c.opts.Plan.Daemons[0] {
		a.end(record.Closed)
	}
	c.write(record.Line{Call: &a.call})
}

// recordUnasked records a success that came although no request was waiting.
func (c *caller) recordUnasked(problem string) {
	if problem != "" {
		now := time.Now()
		c.write(record.Line{Call: &record.Call{Daemon: c.conn.daemon, Sent: now, Done: now, Outcome: record.Answered, Problem: problem, Limit: site.AnswerSlack}})
	}
}

func (c *caller) write(l record.Line) {
	if err := c.opts.Records.Write(l); err != nil {
		c.opts.Log.Error().Err(err).Msg("call not recorded")
	}
}

// newID returns the id of a new attempt.
func (c *caller) newID() string {
	c.requests++
	return fmt.Sprintf("c%d-%d", c.number, c.requests)
}
