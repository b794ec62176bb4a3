// Package failure adds to an error the step that failed and the peer involved.
package failure

import (
	"errors"
	"fmt"
)

// Error is an error with the step that failed and the peer that the step
// involved. Peer is empty for local steps.
type Error struct {
	Step string
	Peer string
	Err  error
}

// At wraps err in an Error with step and peer. It returns nil when err is nil.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Atf is At for an error formatted by fmt.Errorf.
func Atf(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// StepAndPeer returns the step and the peer of the outermost Error in err, or
// empty strings if there is none.
func StepAndPeer(err error) (step, peer string) {
	var e *Error
	if errors.As(err, &e) {
		return e.Step, e.Peer
	}
	return "", ""
}
