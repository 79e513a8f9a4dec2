package node

import "time"

// counterMinutes is the length of the window of a tally.
const counterMinutes = 60

// hourlyCounter counts events of the last hour by minute.
type hourlyCounter struct {
	counts [counterMinutes]int
	// minute is that of the newest count, in minutes since the zero time.
	minute int64
	// since is when counting began.
	since time.Time
}

// add counts one event.
func (t *hourlyCounter) add(now time.Time) {
	t.advance(now)
	t.counts[t.minute%counterMinutes]++
}

// advance clears the minutes that passed without events.
func (t *hourlyCounter) advance(now time.Time) {
	minute := now.Unix() / 60
	if t.since.IsZero() {
		t.since = now
		t.minute = minute
	}
	for t.minute < minute {
		t.minute++
		t.counts[t.minute%counterMinutes] = 0
	}
}

// total returns the number of events of the last hour and the part of the hour that was observed.
func (t *hourlyCounter) total(now time.Time) (events int, observed time.Duration) {
	t.advance(now)
	for _, c := range t.counts {
		events += c
	}
	return events, min(now.Sub(t.since), counterMinutes*time.Minute)
}

// perHour returns the rate of events per hour. The first minute counts as a whole one, so that a single event does not
// show as a high rate.
func (t *hourlyCounter) perHour(now time.Time) float64 {
	events, observed := t.total(now)
	return float64(events) / max(observed, time.Minute).Hours()
}

// classCounters counts what happened to the tasks of a class in this zone.
type classCounters struct{ finished, evicted hourlyCounter }

// countersOf returns the tally of a class, with zone.mu held.
func (n *Node) countersOf(class string) *classCounters {
	t := n.zone.counters[class]
	if t == nil {
		t = &classCounters{}
		n.zone.counters[class] = t
	}
	return t
}
