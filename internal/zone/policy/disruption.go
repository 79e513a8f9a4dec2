package policy

import "time"

// budget is the disruption budget of a class: a token bucket filled by the tolerable evictions per running
// task and day. Evictions that the policy did not cause are charged too and may take it below zero.
type budget struct {
	perTask float64
	tokens  float64
	at      time.Time
}

const (
	day = 24 * time.Hour
	// budgetHours is how many hours of tolerable evictions may be saved up.
	budgetHours = 6
)

func (b *budget) set(now time.Time, perTask float64) {
	if b.at.IsZero() {
		b.at = now
	}
	b.perTask = perTask
}

// advance fills the bucket for the time since the last call, during which running tasks ran.
func (b *budget) advance(now time.Time, running int) {
	if dt := now.Sub(b.at); dt > 0 && !b.at.IsZero() {
		b.tokens += b.perTask * float64(running) * dt.Hours() / day.Hours()
		b.tokens = min(b.tokens, max(1, b.perTask*float64(running)*budgetHours/day.Hours()))
	}
	b.at = now
}

func (b *budget) available(now time.Time, running int) bool {
	b.advance(now, running)
	return b.tokens >= 1
}

func (b *budget) charge(now time.Time, running int) {
	b.advance(now, running)
	b.tokens--
}

// Disruption returns the evictions of the class that its budget allows at now.
func (p *Policy) Disruption(now time.Time, className string) float64 {
	c := p.classes[className]
	if c == nil {
		return 0
	}
	c.budget.advance(now, c.running)
	return c.budget.tokens
}
