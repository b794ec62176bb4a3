package memory

import "sync/atomic"

// Budget bounds what several readers hold together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Open returns an empty part of the budget.
func (b *Budget) Open() *Part { return &Part{budget: b} }

// Part is what one reader holds. It is not safe for concurrent use.
type Part struct {
	budget *Budget
	size   int64
}

// Room is the Room of the reader.
func (p *Part) Room(n int64) bool {
	if p.budget.used.Add(n) > p.budget.limit {
		p.budget.used.Add(-n)
		return false
	}
	p.size += n
	return true
}

// Close gives all back.
func (p *Part) Close() {
	p.budget.used.Add(-p.size)
	p.size = 0
}
