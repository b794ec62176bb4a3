package upstream

import (
	"slices"

	"currantpulley/internal/rendezvous"
)

// maxRefusals is the number of refused requests that a connection remembers. The same
// request comes again, if at all, long before so many others were refused there.
const maxRefusals = 256

// refusals remembers the latest requests that were refused on a connection, by hashes of
// their ids. The zero value is empty.
type refusals struct {
	hashes []uint64
	oldest int // index in hashes once there are maxRefusals
}

// add records that request id was refused.
func (r *refusals) add(id string) {
	if len(r.hashes) < maxRefusals {
		r.hashes = append(r.hashes, rendezvous.Hash(id))
		return
	}
	r.hashes[r.oldest] = rendezvous.Hash(id)
	r.oldest = (r.oldest + 1) % maxRefusals
}

// contain reports whether request id was refused.
func (r *refusals) contain(id string) bool { return slices.Contains(r.hashes, rendezvous.Hash(id)) }

// NoteRefused records that the response states that its request did not run. The request
// is not sent on this connection again: the response to a second send could be this one,
// written once more.
func (r *Reply) NoteRefused() {
	if tracked, ok := r.conn.(*trackedConn); ok && r.id != "" {
		tracked.noteRefused(r.id)
	}
}

// NoteUnnamed records that the response names no request. No other request is sent on
// its connection.
func (r *Reply) NoteUnnamed() {
	if tracked, ok := r.conn.(*trackedConn); ok {
		tracked.noteUnnamed()
	}
}
