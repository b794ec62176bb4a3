// Package workload generates requests whose prompts share nested prefixes. The
// requests are a deterministic function of the seed.
package workload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"currantpulley/bench/site"
	"currantpulley/internal/prompt"
)

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests. Notes and questions are short work.
const (
	Note     Kind = iota // short prompt, short answer
	Question             // a document and a question about it
	Manifest             // long document and long answer
)

// Request is a generated completion request.
type Request struct {
	Due       time.Duration // since the start of the run
	Phase     int           // index into the phases
	Workspace int
	Kind      Kind
	Text      []byte        // prompt
	Body      []byte        // JSON
	Output    int           // tokens
	Deadline  time.Duration // to the first token
	Pieces    []uint64      // chained hashes of the prompt's pieces
	Tokens    int           // estimated tokens of the prompt
}

// workspaceWeights are the shares of the workspaces among the requests. Workspaces
// stand for customers, of which a few are large.
var workspaceWeights = []float64{0.28, 0.22, 0.15, 0.11, 0.08, 0.07, 0.05, 0.04}

// Workspaces returns the number of workspaces.
func Workspaces() int { return len(workspaceWeights) }

// WorkspaceName returns the name of the i-th workspace.
func WorkspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// Key returns the bearer key of the i-th workspace.
func Key(i int) string { return fmt.Sprintf("bench-key-%d", i) }

// Mix holds the share of each kind among the requests, indexed by Kind.
type Mix [3]float64

// Mixes of the scenarios.
var (
	Usual     = Mix{Note: 0.68, Question: 0.30, Manifest: 0.02}
	ShortOnly = Mix{Note: 0.70, Question: 0.30}
	WithLong  = Mix{Note: 0.63, Question: 0.27, Manifest: 0.10}
)

// shape describes the requests of a kind. pieces and output are ranges, given by
// the lowest value and the number of values.
type shape struct {
	documents int           // distinct documents per site
	pieces    [2]int        // of the document
	output    [2]int        // tokens
	deadline  time.Duration // to the first token
}

var shapes = [...]shape{
	Note:     {documents: 8, pieces: [2]int{1, 2}, output: [2]int{16, 17}, deadline: time.Second},
	Question: {documents: 12, pieces: [2]int{3, 4}, output: [2]int{32, 65}, deadline: 2 * time.Second},
	Manifest: {documents: 6, pieces: [2]int{8, 3}, output: [2]int{192, 129}, deadline: 6 * time.Second},
}

const (
	templates     = 3 // per workspace
	sites         = 5 // per template
	templateMin   = 2 // pieces of a template, lowest value
	templateRange = 3 // number of values
	siteMin       = 1 // pieces of a site, lowest value
	siteRange     = 2 // number of values

	templateSkew = 0.8 // exponents of the Zipf distributions
	siteSkew     = 0.8
	documentSkew = 1.0
)

// Phase is a period with one mix of kinds. Its rate changes linearly.
type Phase struct {
	Name   string
	Length time.Duration
	Mix    Mix
	From   float64 // requests per second at the start
	To     float64 // requests per second at the end
	Epoch  int     // selects which prefixes are popular
}

// Generator generates requests. It is not safe for concurrent use.
type Generator struct {
	rand  *rand.Rand
	seed  uint64
	count int
}

// New returns a Generator whose requests are determined by seed.
func New(seed uint64) *Generator {
	return &Generator{rand: rand.New(rand.NewPCG(seed, 1)), seed: seed}
}

// Arrivals returns the requests of consecutive phases, with exponentially
// distributed gaps (a Poisson process).
func (g *Generator) Arrivals(phases []Phase) []*Request {
	var all []*Request
	var start time.Duration
	for i, p := range phases {
		peak := max(p.From, p.To)
		for at := g.nextGap(peak); at < p.Length; at += g.nextGap(peak) {
			progress := float64(at) / float64(p.Length)
			rate := p.From + (p.To-p.From)*progress
			if g.rand.Float64()*peak > rate {
				continue
			}
			r := g.Next(p.Mix, p.Epoch)
			r.Due, r.Phase = start+at, i
			all = append(all, r)
		}
		start += p.Length
	}
	return all
}

// nextGap returns a random time between two arrivals at rate requests per second.
func (g *Generator) nextGap(rate float64) time.Duration {
	return time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second))
}

// Next returns one request without a due time.
func (g *Generator) Next(mix Mix, epoch int) *Request {
	g.count++
	workspace := g.weightedIndex(workspaceWeights)
	kind := Kind(g.weightedIndex(mix[:]))
	s := shapes[kind]
	template := g.zipfIndex(templates, templateSkew, epoch)
	siteIndex := g.zipfIndex(sites, siteSkew, epoch)
	document := g.zipfIndex(s.documents, documentSkew, epoch)

	path := WorkspaceName(workspace)
	var text strings.Builder
	path = appendLevel(&text, fmt.Sprintf("%s/template-%d", path, template), templateMin, templateRange)
	path = appendLevel(&text, fmt.Sprintf("%s/site-%d", path, siteIndex), siteMin, siteRange)
	appendLevel(&text, fmt.Sprintf("%s/%d-document-%d", path, kind, document), s.pieces[0], s.pieces[1])
	fmt.Fprintf(&text, "request %d-%d", g.seed, g.count)
	return g.request(workspace, kind, text.String())
}

// appendLevel adds the pieces of one level of the prompt and returns path. The
// number of pieces is a hash of path, so that equal paths give equal text.
func appendLevel(text *strings.Builder, path string, minimum, valueCount int) string {
	const size = site.PieceTokens * 4 // bytes
	h := prompt.Hashes(prompt.Scope{Workspace: path}, []byte("size"), 1)[0]
	for i := range minimum + int(h%uint64(valueCount)) {
		piece := fmt.Sprintf("%s/piece-%d ", path, i)
		text.WriteString(piece + strings.Repeat(".", size-len(piece)))
	}
	return path
}

// request builds the request of kind for a prompt.
func (g *Generator) request(workspace int, kind Kind, text string) *Request {
	s := shapes[kind]
	output := s.output[0] + g.rand.IntN(s.output[1])
	// Marshalling values of these types can't fail.
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{site.Model, text, output, true})
	scope := prompt.Scope{Workspace: WorkspaceName(workspace), Model: site.Model, Weights: site.Weights}
	return &Request{
		Workspace: workspace,
		Kind:      kind,
		Text:      []byte(text),
		Body:      body,
		Output:    output,
		Deadline:  s.deadline,
		Pieces:    prompt.Hashes(scope, []byte(text), site.PieceTokens),
		Tokens:    prompt.EstimateTokens(len(text)),
	}
}

// weightedIndex returns a random index into weights, with probabilities in
// proportion to them.
func (g *Generator) weightedIndex(weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	x := g.rand.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// zipfIndex returns one of n indices, with Zipf-distributed popularity. The order
// of popularity is rotated by n/2 in each epoch.
func (g *Generator) zipfIndex(n int, skew float64, epoch int) int {
	rank := g.weightedIndex(zipfWeights(n, skew))
	return (rank + epoch*(n/2)) % n
}
