package platform

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Departure bounds the random times that a worker takes to leave. By the zero value it leaves in one instant.
type Departure struct {
	// Spread is the longest time from the beginning of the departure until each of three steps, which come in random
	// order: the worker's entry is removed, its address refuses new connections, and its open connections are closed.
	Spread time.Duration
	// Linger is the longest time from the last of these steps until the process ends, and what runs there with it.
	Linger time.Duration
}

// DefaultDeparture returns the bounds for workers that leave as real processes do.
func DefaultDeparture() Departure { return Departure{Spread: 4 * time.Second, Linger: 8 * time.Second} }

// departure is the course of the departure of a worker.
type departure struct {
	// steps holds the steps that are still to come, in any order.
	steps []departureStep
	// endAt is when the process ends, not before the last step.
	endAt time.Time
	// abrupt is set if the open connections are closed all at once, else they are closed once they are idle.
	abrupt bool
}

// departureStep is a step of a departure at the given time.
type departureStep struct {
	at time.Time
	do func()
}

// newDeparture draws the course of a departure that begins at the given time and has the given steps.
func (d Departure) newDeparture(rng *rand.Rand, begin time.Time, steps ...func()) *departure {
	course := &departure{endAt: begin, abrupt: d.Spread > 0 && rng.IntN(2) == 0}
	for _, do := range steps {
		at := begin.Add(upTo(rng, d.Spread))
		course.steps = append(course.steps, departureStep{at: at, do: do})
		if at.After(course.endAt) {
			course.endAt = at
		}
	}
	course.endAt = course.endAt.Add(upTo(rng, d.Linger))
	return course
}

// upTo returns a random time below the given one, or 0 if that is 0.
func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

// advance takes the steps that are due.
func (d *departure) advance(now time.Time) {
	d.steps = slices.DeleteFunc(d.steps, func(s departureStep) bool {
		if now.Before(s.at) {
			return false
		}
		s.do()
		return true
	})
}
