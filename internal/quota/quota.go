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

// moveTime is added to the life of tokens: the time in which they reach the daemon
// that needs them.
const moveTime = 800 * time.Millisecond

// maxLife bounds the life of a token.
const maxLife = time.Hour

// life returns the time after its minting in which a token can be taken.
func (q Quota) life() time.Duration {
	if q.Rate <= 0 {
		return moveTime
	}
	seconds := min(q.Burst/q.Rate, maxLife.Seconds())
	return time.Duration(seconds*float64(time.Second)) + moveTime
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

// Charge is the tokens that were taken for a request.
type Charge struct {
	Workspace ID
	Lots      []Lot
	At        time.Time // when they were taken
}
