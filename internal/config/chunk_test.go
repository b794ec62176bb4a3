package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pelletier/go-toml/v2"
)

// oddFragments are parts of a document that redefine tables or keys, or look as
// if they did.
var oddFragments = []string{
	"[a.x0]\nk = 1\n", "[a]\nx1 = {k = 1}\n", "[a]\nother = 1\n", "[a]\nx2.k = 1\n", "[[list]]\nk = 1\n",
	"[a.x3.deep]\nk = 1\n", "[a.\"x4\"]\nk = 1\n", "[ a . y ]\nk = 1\n", "[b]\n", "k = 1\n", "broken = \n", "[b.c]\ns = \"\"\"\n[a.x5]\n\"\"\"\n",
}

// randomDocument returns a document with more tables than fit in a chunk and
// some odd fragments among them.
func randomDocument(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	if r.IntN(3) == 0 {
		b.WriteString("a = {z = 1}\n")
	}
	tables := tablesPerChunk + r.IntN(2*tablesPerChunk)
	for i := range tables {
		fmt.Fprintf(&b, "[a.x%d]\nk = %d # [a.x%d]\n", i, r.IntN(9), i+1)
		if r.IntN(tables) == 0 {
			b.WriteString(oddFragments[r.IntN(len(oddFragments))])
		}
	}
	return b.String()
}

// TestChunksDecodeLikeOneCall guards against documents that decode to other
// values, or to another error, in chunks than with a single toml.Unmarshal.
func TestChunksDecodeLikeOneCall(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("same values, or the same error", prop.ForAll(func(seed uint64) bool {
		data := []byte(randomDocument(seed))
		var single, chunked map[string]any
		errSingle, errChunked := toml.Unmarshal(data, &single), unmarshal(data, &chunked)
		if errSingle != nil || errChunked != nil {
			return errSingle != nil && errChunked != nil && errSingle.Error() == errChunked.Error()
		}
		return reflect.DeepEqual(single, chunked)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestLargeDocumentIsDecodedInChunks(t *testing.T) {
	data := []byte(plainDocument(3 * tablesPerChunk))
	if got := unmarshalChunks(data, tableHeaders(data)); len(got["a"].(map[string]any)) != 3*tablesPerChunk {
		t.Fatal("a large plain document was not decoded in chunks")
	}
}

// plainDocument returns a document that can be decoded in chunks.
func plainDocument(tables int) string {
	var b strings.Builder
	b.WriteString("schema = 1\n")
	for i := range tables {
		fmt.Fprintf(&b, "[a.x%d]\nk = 1\n", i)
	}
	return b.String()
}
