package node

import "time"

// tallyMinutes is the length of the window of a tally.
const tallyMinutes = 60

// tally counts events of the last hour by minute.
type tally struct {
	counts [tallyMinutes]int
	// minute is that of the newest count, in minutes since the zero time.
	minute int64
	// since is when counting began.
	since time.Time
}

// add counts one event.
func (t *tally) add(now time.Time) {
	t.advance(now)
	t.counts[t.minute%tallyMinutes]++
}

// advance clears the minutes that passed without events.
func (t *tally) advance(now time.Time) {
	minute := now.Unix() / 60
	if t.since.IsZero() {
		t.since = now
		t.minute = minute
	}
	for t.minute < minute {
		t.minute++
		t.counts[t.minute%tallyMinutes] = 0
	}
}

// total returns the number of events of the last hour and the part of the hour that was observed.
func (t *tally) total(now time.Time) (events int, observed time.Duration) {
	t.advance(now)
	for _, c := range t.counts {
		events += c
	}
	return events, min(now.Sub(t.since), tallyMinutes*time.Minute)
}

// perHour returns the rate of events per hour. The first minute counts as a whole one, so that a single event does not
// show as a high rate.
func (t *tally) perHour(now time.Time) float64 {
	events, observed := t.total(now)
	return float64(events) / max(observed, time.Minute).Hours()
}

// classTally counts what happened to the tasks of a class in this zone.
type classTally struct{ finished, evicted tally }

// tallyOf returns the tally of a class, with zone.mu held.
func (n *Node) tallyOf(class string) *classTally {
	t := n.zone.tallies[class]
	if t == nil {
		t = &classTally{}
		n.zone.tallies[class] = t
	}
	return t
}
