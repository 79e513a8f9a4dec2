package policy

import "time"

// disruptionBudget is the disruption budget of a class: a token bucket filled by the tolerable evictions per running
// task and day. Evictions that the policy did not cause are charged too and may take it below zero.
type disruptionBudget struct {
	perTaskDay float64
	tokens     float64
	updatedAt  time.Time
}

const (
	day = 24 * time.Hour
	// maxSavedHours is how many hours of tolerable evictions may be saved up; one eviction may be saved in any case.
	maxSavedHours = 6
)

func (b *disruptionBudget) set(now time.Time, perTask float64) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	b.perTaskDay = perTask
}

// refill fills the bucket for the time since the last call, in which the given number of tasks ran.
func (b *disruptionBudget) refill(now time.Time, running int) {
	if dt := now.Sub(b.updatedAt); dt > 0 && !b.updatedAt.IsZero() {
		b.tokens += b.perTaskDay * float64(running) * dt.Hours() / day.Hours()
		b.tokens = min(b.tokens, max(1, b.perTaskDay*float64(running)*maxSavedHours/day.Hours()))
	}
	b.updatedAt = now
}

func (b *disruptionBudget) allowsEviction(now time.Time, running int) bool {
	b.refill(now, running)
	return b.tokens >= 1
}

func (b *disruptionBudget) charge(now time.Time, running int) {
	b.refill(now, running)
	b.tokens--
}

// DisruptionBudget returns how many evictions of the class its budget allows at now; it may be negative.
func (p *Policy) DisruptionBudget(now time.Time, className string) float64 {
	c := p.classes[className]
	if c == nil {
		return 0
	}
	c.budget.refill(now, c.running)
	return c.budget.tokens
}
