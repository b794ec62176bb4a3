package decide

import (
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/prompt"
)

const (
	denseLookups = 8  // leading pieces that are all looked up; deeper ones at powers of two
	lookupsMax   = 32 // most pieces looked up per prompt
)

// work holds the properties of a prompt that a decision depends on.
type work struct {
	model        *config.Model
	pieces       []uint64
	pieceSize    float64 // tokens per piece
	promptTokens float64 // estimated
	outputTokens float64 // expected
	level        int     // index of the piece whose owners are used; -1: no piece
	lookups      [lookupsMax]int16
	nLookups     int
	long         bool
	deadline     time.Time // of the first token; zero: none
}

func newWork(model *config.Model, p *prompt.Prompt, output float64) work {
	w := work{
		model:        model,
		pieces:       p.Pieces,
		pieceSize:    float64(p.PieceSize),
		promptTokens: float64(p.Tokens),
		outputTokens: output,
		level:        -1,
	}
	w.selectLookups()
	return w
}

// selectLookups sets w.lookups to the indices of the pieces to look up among known
// cached copies, in ascending order.
func (w *work) selectLookups() {
	last := len(w.pieces) - 1
	for i := 0; i <= last && w.nLookups < lookupsMax; i++ {
		if i < denseLookups || (i+1)&i == 0 || i == last {
			w.lookups[w.nLookups] = int16(i)
			w.nLookups++
		}
	}
}

// ownerKey returns the piece whose owners are used.
func (w *work) ownerKey() uint64 { return w.pieces[w.level] }

// lastPiece returns the prompt's last piece.
func (w *work) lastPiece() uint64 { return w.pieces[len(w.pieces)-1] }

// cacheable returns the number of tokens in the prompt's whole pieces.
func (w *work) cacheable() float64 { return float64(len(w.pieces)) * w.pieceSize }

// decodeTime returns the expected time to decode the output.
func (w *work) decodeTime(perToken time.Duration) time.Duration {
	return time.Duration(w.outputTokens * float64(perToken))
}
