package exchange

import (
	"time"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/control/quotas"
	"currantpulley/internal/quota"
)

// Quotas has the tokens of quotas that move with states. Its methods are called on
// several goroutines.
type Quotas interface {
	// Deposits takes the tokens that move to another daemon.
	Deposits(vm string) []quota.Deposit
	// Daemons returns the most daemons that this one has seen lately.
	Daemons() int
	// Receive applies another daemon's tokens, whose ages were right elapsed ago, and
	// the most daemons that it has seen.
	Receive(vm string, deposits []quota.Deposit, daemons int, elapsed time.Duration)
	// Unreached is called when another daemon did not answer.
	Unreached(vm string, err error)
}

// stateFor builds this daemon's state with what is for another daemon alone. What it
// holds is deducted here, so it must be sent once.
func (e *Exchange) stateFor(vm string, now time.Time) *exchangepb.State {
	s := e.state(now)
	if e.opts.Quotas != nil {
		s.Deposits = quotas.EncodeDeposits(e.opts.Quotas.Deposits(vm))
		s.Daemons = uint32(e.opts.Quotas.Daemons())
	}
	return s
}

// applyDeposits applies what another daemon's state has for this one, elapsed after it
// was asked for.
func (e *Exchange) applyDeposits(s *exchangepb.State, elapsed time.Duration) {
	if e.opts.Quotas != nil {
		e.opts.Quotas.Receive(s.GetVm(), quotas.DecodeDeposits(s.GetDeposits()), int(s.GetDaemons()), elapsed)
	}
}

// quotaPeerLost records that another daemon did not answer.
func (e *Exchange) quotaPeerLost(vm string, err error) {
	if e.opts.Quotas != nil {
		e.opts.Quotas.Unreached(vm, err)
	}
}
