// Package quota bounds what the requests of a workspace take from all daemons
// together. Each daemon mints its part of the quota as tokens, which move between
// daemons and are never copied, and which expire. So all daemons together can't take
// more in a time than was minted in it and in one life of a token before.
package quota

import (
	"fmt"
	"time"

	"currantpulley/internal/rendezvous"
)

// Unit is what a quota counts.
type Unit uint8

// Units of quotas.
const (
	Requests Unit = iota
	Tokens        // of prompts and answers
)

// Quota bounds what all daemons together send for a workspace. The zero value
// bounds nothing.
type Quota struct {
	Rate   float64 // units a second; 0: no bound
	Burst  float64 // units
	Unit   Unit
	Plain  float64 // tokens that a request counts that states none
	Closed bool    // nothing is admitted, as no quota could be read
}

// String describes q for operators.
func (q Quota) String() string {
	if q.Closed {
		return "no quota that can be read"
	}
	unit := "requests"
	if q.Unit == Tokens {
		unit = "tokens"
	}
	return fmt.Sprintf("quota %g %s a second, burst %g", q.Rate, unit, q.Burst)
}

// Limited reports whether q bounds anything.
func (q Quota) Limited() bool { return q.Closed || q.Rate > 0 }

// maxAmount is the largest rate or burst that is taken for meant.
const maxAmount = 1e12

// Check returns an error if a number of q can't be.
func (q Quota) Check() error {
	for _, n := range []struct {
		name  string
		value float64
	}{{"rate", q.Rate}, {"burst", q.Burst}, {"tokens of a plain request", q.Plain}} {
		if !(n.value >= 0 && n.value <= maxAmount) {
			return fmt.Errorf("quota: %s %g is not between 0 and %g", n.name, n.value, maxAmount)
		}
	}
	return nil
}

// Cost returns what a request takes from q. stated tells whether it states its tokens.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case stated:
		return float64(tokens)
	}
	return q.Plain
}

// Tolerance is what may be taken beyond a quota in any time of a length: a share of rate
// x window + burst, and a number of units. The zero value states none.
type Tolerance struct {
	Window  time.Duration
	Overage float64 // share
	Slack   float64 // units
}

const (
	// moveTime is added to the life of tokens if no tolerance is stated: the time in which
	// they reach the daemon that needs them.
	moveTime = 800 * time.Millisecond
	// toleranceUsed is the share of a tolerance that prolongs the life of tokens. The rest
	// is for daemons that join, and for debts.
	toleranceUsed = 0.75
	// maxLife bounds the life of a token.
	maxLife = time.Hour
)

// life returns the time after its minting in which a token of q can be taken.
func (t Tolerance) life(q Quota) time.Duration {
	if q.Rate <= 0 {
		return moveTime
	}
	burst := q.Burst / q.Rate // seconds
	extra := moveTime.Seconds()
	if t.Window > 0 {
		window := t.Window.Seconds()
		extra = min(window, toleranceUsed*(t.Overage*(window+burst)+t.Slack/q.Rate))
	}
	return time.Duration(min(burst+extra, maxLife.Seconds()) * float64(time.Second))
}

// ID identifies a workspace between daemons.
type ID uint64

// IDOf returns the id of the workspace called name.
func IDOf(name string) ID { return ID(rendezvous.Hash(name)) }

// Lot is a number of tokens of about the same age.
type Lot struct {
	Age    time.Duration // at most so long ago they were minted
	Amount float64
}

// Sum returns the tokens in all lots.
func Sum(lots []Lot) float64 {
	sum := 0.0
	for _, l := range lots {
		sum += l.Amount
	}
	return sum
}

// Deposit is tokens of a workspace that move to another daemon.
type Deposit struct {
	Workspace ID
	Lots      []Lot
}

// Charge is the tokens that were taken for a request. What a large one owes beyond them is
// not in it and is not given back.
type Charge struct {
	Workspace ID
	Lots      []Lot
	At        time.Time // when they were taken
}
