// Package prompt parses model requests. It splits a prompt into pieces, the
// fixed-size blocks that engines cache, and gives each piece a chained hash.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken converts bytes to an estimate of tokens. Engines report exact
// counts.
const bytesPerToken = 4

// Scope holds the properties that must be equal for a cached piece to be reused.
// It is part of every hash, so that pieces of different scopes do not match.
type Scope struct {
	Workspace string
	Model     string
	Adapter   string
	Weights   string
}

// Prompt is a parsed prompt. Pieces[i] is the hash of the scope and the first
// i+1 pieces of text, so equal hashes mean equal prefixes.
type Prompt struct {
	Scope     Scope
	Tokens    int // estimated
	MaxOutput int // tokens; 0: not given
	Stream    bool
	PieceSize int // tokens per piece
	Pieces    []uint64
}

// EstimateTokens returns the estimated number of tokens in n bytes of text.
func EstimateTokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }

// Hashes splits text into pieces of pieceTokens estimated tokens and returns their
// chained hashes. A shorter last piece has no hash, since engines cache whole
// pieces only.
func Hashes(scope Scope, text []byte, pieceTokens int) []uint64 {
	size := pieceTokens * bytesPerToken
	if size <= 0 || len(text) < size {
		return nil
	}
	out := make([]uint64, 0, len(text)/size)
	chain := scopeHash(scope)
	for ; len(text) >= size; text = text[size:] {
		chain = chainHash(chain, text[:size])
		out = append(out, chain)
	}
	return out
}

func scopeHash(s Scope) uint64 {
	d := xxhash.New()
	for _, part := range []string{s.Workspace, s.Model, s.Adapter, s.Weights} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

func chainHash(chain uint64, piece []byte) uint64 {
	var prev [8]byte
	binary.LittleEndian.PutUint64(prev[:], chain)
	d := xxhash.New()
	_, _ = d.Write(prev[:])
	_, _ = d.Write(piece)
	return d.Sum64()
}
