// Package limit limits the retries and hedges of urgent requests, queues the requests that wait for a slot, and bounds what
// the connections of a server hold together.
package limit

import "time"

// Budget is a token bucket that limits retries and hedges. Requests and time add tokens; each retry or hedge takes one.
type Budget struct {
	tokensPerRequest, tokensPerSecond, maxTokens, tokens float64
	lastRefill                                           time.Time
}

// NewBudget returns a budget that gains tokensPerRequest with each request and tokensPerSecond with time, so that a
// host with few requests can retry at all. The bucket holds at most maxTokens and starts with one token.
func NewBudget(tokensPerRequest, tokensPerSecond, maxTokens float64) *Budget {
	return &Budget{
		tokensPerRequest: tokensPerRequest, tokensPerSecond: tokensPerSecond, maxTokens: maxTokens,
		tokens: min(1, maxTokens),
	}
}

// CountRequest adds tokensPerRequest tokens for a new request.
func (b *Budget) CountRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.maxTokens, b.tokens+b.tokensPerRequest)
}

// Take takes one token for a retry or hedge. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.tokens = min(b.maxTokens, b.tokens+b.tokensPerSecond*now.Sub(b.lastRefill).Seconds())
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}
