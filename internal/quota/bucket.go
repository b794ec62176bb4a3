package quota

import "time"

// steps is the number of steps into which the life of a token is divided.
const steps = 24

// bucket holds tokens by the step in which they were minted.
type bucket struct {
	width time.Duration  // of a step
	step  int64          // the newest one
	held  [steps]float64 // by step modulo steps
	most  float64        // tokens that it holds at most
	owed  float64        // tokens that were taken ahead, and are paid first
}

// minWidth keeps steps from vanishing where neither burst nor tolerance is given.
const minWidth = time.Millisecond

// newBucket returns the empty bucket of a quota whose tokens live for a time.
func newBucket(q Quota, life time.Duration, now time.Time) bucket {
	b := bucket{width: max(minWidth, life/steps), most: q.Rate * life.Seconds()}
	b.step = b.stepAt(now)
	return b
}

// life returns the time for which a token can be taken.
func (b *bucket) life() time.Duration { return b.width * steps }

func (b *bucket) stepAt(t time.Time) int64 { return t.UnixNano() / int64(b.width) }

// at returns the tokens that were minted in a step, which is negative for one before
// the VM's boot.
func (b *bucket) at(step int64) *float64 { return &b.held[(step%steps+steps)%steps] }

// advance removes the tokens that have expired.
func (b *bucket) advance(now time.Time) {
	step := b.stepAt(now)
	for s := max(b.step+1, step-steps+1); s <= step; s++ {
		*b.at(s) = 0
	}
	b.step = max(b.step, step)
}

// total returns the tokens in the bucket.
func (b *bucket) total() float64 {
	sum := 0.0
	for _, n := range b.held {
		sum += n
	}
	return sum
}

// put adds tokens that are at most age old. They pay what is owed first.
func (b *bucket) put(age time.Duration, amount float64) {
	back := int64((age + b.width - 1) / b.width)
	if age < 0 || back >= steps {
		return
	}
	paid := min(b.owed, amount)
	b.owed -= paid
	*b.at(b.step - back) += max(0, min(amount-paid, b.most-b.total()))
}

// take removes up to amount tokens, the oldest first.
func (b *bucket) take(amount float64) []Lot {
	var lots []Lot
	for back := int64(steps - 1); back >= 0 && amount > 0; back-- {
		slot := b.at(b.step - back)
		n := min(*slot, amount)
		if n <= 0 {
			continue
		}
		*slot -= n
		amount -= n
		lots = append(lots, Lot{Age: time.Duration(back+1) * b.width, Amount: n})
	}
	return lots
}
