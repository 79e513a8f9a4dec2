package entry

import "time"

const (
	// lagWeight is the weight of the newest of the measurements in a lag, as one part in so many.
	lagWeight = 8
	// lagReportThreshold is the lag from which a leader logs that it is late, and lagReportInterval the shortest interval
	// between two such lines.
	lagReportThreshold = 20 * time.Millisecond
	lagReportInterval  = time.Second
)

// lag measures how late a goroutine runs because the processor is busy with others: a mean of how much longer than asked
// for it slept, over the last few times.
type lag struct {
	mean       time.Duration
	reportedAt time.Time
}

// add adds a sleep that was asked for and how long it took.
func (l *lag) add(asked, took time.Duration) {
	l.mean += (max(0, took-asked) - l.mean) / lagWeight
}

// isReportDue reports whether the lag is to be logged now.
func (l *lag) isReportDue(now time.Time) bool {
	if l.mean < lagReportThreshold || now.Sub(l.reportedAt) < lagReportInterval {
		return false
	}
	l.reportedAt = now
	return true
}
