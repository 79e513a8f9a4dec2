// Package limit bounds retries, hedges and the wait of urgent requests.
package limit

import "time"

// Budget is a token bucket that is filled by requests and emptied by retries and hedges.
type Budget struct {
	ratio, rate, burst, tokens float64
	last                       time.Time
}

// NewBudget returns a budget of ratio retries per request, and of at least rate retries a second, so that a host with
// few requests can retry at all. At most burst tokens are saved.
func NewBudget(ratio, rate, burst float64) *Budget {
	return &Budget{ratio: ratio, rate: rate, burst: burst, tokens: min(1, burst)}
}

// Request counts a first try.
func (b *Budget) Request(now time.Time) {
	b.fill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take takes one token for a retry or hedge. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	if now.After(b.last) {
		b.last = now
	}
}
