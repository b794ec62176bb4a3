package quota

import (
	"errors"
	"time"
)

const (
	// largeShare is the share of all living tokens from which a request counts as large:
	// it passes when so many are there, and the rest is owed.
	largeShare = 0.25
	// idleWait is what is told to wait where nothing is minted.
	idleWait = time.Second
)

// Errors of claims by other daemons.
var (
	ErrUnknown = errors.New("quota: the workspace has none here")
	ErrClaim   = errors.New("quota: more tokens than can be")
)

// Book holds one daemon's tokens of all workspaces with a quota. It is not safe for
// concurrent use.
type Book struct {
	tolerance Tolerance
	part      float64 // of each quota that this daemon mints
	hasPart   bool    // it had a part; until then nothing is minted, and later that is made up for
	accounts  map[ID]*account
}

// account is the tokens of one workspace.
type account struct {
	quota  Quota
	bucket bucket
	minted time.Time // up to which tokens were minted
}

// NewBook returns a book without workspaces, whose quotas may be exceeded by t.
func NewBook(t Tolerance) *Book { return &Book{tolerance: t, accounts: make(map[ID]*account)} }

// SetPart sets the part of each quota that this daemon mints from now on.
//
// The first part counts from the start of the process on: a daemon learns how many there
// are only after a while, and nobody minted for it meanwhile.
func (b *Book) SetPart(part float64, now time.Time) {
	for _, a := range b.accounts {
		b.mint(a, now)
	}
	b.part, b.hasPart = part, b.hasPart || part > 0
}

// SetQuotas sets the quotas of all workspaces that have one. A lower rate scales what is
// held down; a higher one fills nothing.
func (b *Book) SetQuotas(quotas map[ID]Quota, now time.Time) {
	for id := range b.accounts {
		if _, ok := quotas[id]; !ok {
			delete(b.accounts, id)
		}
	}
	for id, q := range quotas {
		switch a := b.accounts[id]; {
		case a == nil:
			b.accounts[id] = &account{quota: q, bucket: newBucket(q, b.tolerance.life(q), now), minted: now}
		case a.quota != q:
			b.mint(a, now)
			a.change(q, b.tolerance.life(q), now)
			if !b.hasPart {
				a.minted = now // a raised quota fills nothing
			}
		}
	}
}

// Take takes the tokens of a request. If there are too few, it takes none and returns
// the time until the whole quota brings enough. A large request leaves a debt.
func (b *Book) Take(id ID, amount float64, now time.Time) (lots []Lot, wait time.Duration, ok bool) {
	if wait, ok = b.Covers(id, amount, now); !ok {
		return nil, wait, false
	}
	a := b.accounts[id]
	lots = a.bucket.take(amount)
	a.bucket.owed += max(0, amount-Sum(lots))
	return lots, 0, true
}

// Covers reports whether Take would take the tokens of a request, and if not, the time
// until it would.
func (b *Book) Covers(id ID, amount float64, now time.Time) (time.Duration, bool) {
	a := b.account(id, now)
	if a == nil {
		return idleWait, false
	}
	need := min(amount, largeShare*a.bucket.most)
	if missing := need - a.bucket.total() + a.bucket.owed; missing > 0 || a.quota.Closed {
		return a.timeFor(missing), false
	}
	return 0, true
}

// TakeUpTo takes up to amount tokens.
func (b *Book) TakeUpTo(id ID, amount float64, now time.Time) []Lot {
	a := b.account(id, now)
	if a == nil {
		return nil
	}
	return a.bucket.take(amount)
}

// TakeAll takes all tokens of a workspace.
func (b *Book) TakeAll(id ID, now time.Time) []Lot {
	a := b.account(id, now)
	if a == nil {
		return nil
	}
	return a.bucket.take(a.bucket.most)
}

// Put adds tokens that come from another daemon or are given back, elapsed after their
// ages were right. It returns an error if there can't be so many.
func (b *Book) Put(id ID, lots []Lot, elapsed time.Duration, now time.Time) error {
	a := b.account(id, now)
	if a == nil {
		return ErrUnknown
	}
	sum := 0.0
	for _, l := range lots {
		if !(l.Amount >= 0) || l.Age < 0 {
			return ErrClaim
		}
		sum += l.Amount
	}
	if sum > a.bucket.most*(1+claimTolerance) {
		return ErrClaim
	}
	for _, l := range lots {
		a.bucket.put(l.Age+max(0, elapsed), l.Amount)
	}
	return nil
}

// Restore gives back what TakeUpTo or Take returned at the instant taken, as if it had not
// been called.
func (b *Book) Restore(id ID, lots []Lot, taken, now time.Time) {
	a := b.account(id, now)
	if a == nil {
		return
	}
	width := a.bucket.width
	since := time.Duration(a.bucket.step-a.bucket.stepAt(taken)) * width
	for _, l := range lots {
		a.bucket.put(max(0, l.Age-width+since), l.Amount)
	}
}

// claimTolerance is for amounts that were rounded on the way.
const claimTolerance = 0.01

// Owe charges tokens that were used without being taken.
func (b *Book) Owe(id ID, amount float64, now time.Time) {
	if a := b.account(id, now); a != nil {
		taken := Sum(a.bucket.take(amount))
		a.bucket.owed = min(a.bucket.owed+amount-taken, a.bucket.most)
	}
}

// account returns a workspace's account with the tokens of now, or nil.
func (b *Book) account(id ID, now time.Time) *account {
	a := b.accounts[id]
	if a != nil {
		b.mint(a, now)
	}
	return a
}

// mint adds what this daemon's part of a's quota brings up to now.
func (b *Book) mint(a *account, now time.Time) {
	if !b.hasPart {
		a.bucket.advance(now)
		return
	}
	a.mint(b.part, now)
}

// mint adds what part of the quota brings up to now, each step's tokens with their age.
func (a *account) mint(part float64, now time.Time) {
	a.bucket.advance(now)
	from := a.minted
	if oldest := now.Add(-a.bucket.life()); from.Before(oldest) {
		a.bucket.owed = max(0, a.bucket.owed-part*a.quota.Rate*oldest.Sub(from).Seconds())
		from = oldest
	}
	for from.Before(now) {
		step := a.bucket.stepAt(from)
		end := time.Unix(0, (step+1)*int64(a.bucket.width))
		if now.Before(end) {
			end = now
		}
		age := time.Duration(a.bucket.step-step) * a.bucket.width
		a.bucket.put(age, part*a.quota.Rate*end.Sub(from).Seconds())
		from = end
	}
	if a.minted.Before(now) {
		a.minted = now
	}
}

// change replaces the quota. Tokens keep their ages.
func (a *account) change(q Quota, life time.Duration, now time.Time) {
	old, oldRate := a.bucket, a.quota.Rate
	sameUnit := q.Unit == a.quota.Unit
	a.quota, a.bucket = q, newBucket(q, life, now)
	if !sameUnit || q.Rate <= 0 || oldRate <= 0 {
		return
	}
	scale := min(1, q.Rate/oldRate)
	for _, l := range old.take(old.most) {
		a.bucket.put(l.Age, l.Amount*scale)
	}
	a.bucket.owed = old.owed * scale
}

// timeFor returns the time in which the whole quota brings amount tokens.
func (a *account) timeFor(amount float64) time.Duration {
	if a.quota.Closed || a.quota.Rate <= 0 {
		return idleWait
	}
	seconds := min(max(0, amount)/a.quota.Rate, maxLife.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
