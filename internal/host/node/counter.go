package node

import "time"

// counterMinutes is the length of the window of an hourlyCounter, in minutes.
const counterMinutes = 60

// hourlyCounter counts the events of the last hour, by minute.
type hourlyCounter struct {
	counts [counterMinutes]int
	// minute is the minute of the newest count, in minutes since the Unix epoch.
	minute int64
	// since is when the first event was counted or the count was first read.
	since time.Time
}

// add counts one event.
func (c *hourlyCounter) add(now time.Time) {
	c.advance(now)
	c.counts[c.minute%counterMinutes]++
}

// advance moves the window forward to now and clears the counts of the minutes that have passed since the newest one.
func (c *hourlyCounter) advance(now time.Time) {
	minute := now.Unix() / 60
	if c.since.IsZero() {
		c.since = now
		c.minute = minute
	}
	for c.minute < minute {
		c.minute++
		c.counts[c.minute%counterMinutes] = 0
	}
}

// total returns the number of events of the last hour and how much of that hour was observed.
func (c *hourlyCounter) total(now time.Time) (events int, observed time.Duration) {
	c.advance(now)
	for _, count := range c.counts {
		events += count
	}
	return events, min(now.Sub(c.since), counterMinutes*time.Minute)
}

// perHour returns the rate of events per hour. At least a minute counts as observed, so that a single event right after
// the start does not appear as a high rate.
func (c *hourlyCounter) perHour(now time.Time) float64 {
	events, observed := c.total(now)
	return float64(events) / max(observed, time.Minute).Hours()
}

// classCounters counts the finished and evicted tasks of a class in this zone.
type classCounters struct{ finished, evicted hourlyCounter }

// countersOf returns the counters of a class and creates them if needed. The caller holds zone.mu.
func (n *Node) countersOf(class string) *classCounters {
	c := n.zone.counters[class]
	if c == nil {
		c = &classCounters{}
		n.zone.counters[class] = c
	}
	return c
}
