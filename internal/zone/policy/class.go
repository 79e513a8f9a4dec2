package policy

import (
	"fmt"
	"math"
	"time"
)

// class is the state of a class of work.
type class struct {
	name  string
	kind  Kind
	index int

	// p99Target is the latency target of an urgent class, hourlyTarget the number of tasks that a batch class
	// should finish per hour.
	p99Target    time.Duration
	hourlyTarget float64

	running  int
	finished window
	// size is what is planned with, localSize what this host learned, and remoteSize what other hosts learned.
	size, localSize, remoteSize sizeEstimates
	budget                      disruptionBudget
	failures                    failureRecord

	// The fields from interference to evaluatedAt are used by urgent classes only. acceptedSlowdown is the slowdown
	// accepted on a worker; it is lowered while the class misses its target.
	interference     *interferenceModel
	acceptedSlowdown float64
	answers          window
	lateAnswers      window
	missesTarget     bool
	// evaluatedAt is when evaluateTarget last did its work.
	evaluatedAt time.Time

	// trialWorker is the only worker that runs tasks of this batch class while its size or one of its pairs is
	// unknown; trialStartedAt is the start of its trial.
	trialWorker    string
	trialStartedAt time.Time
	// firstTrialAt is the start of the first trial.
	firstTrialAt time.Time
	// lastProbeAt is when the class last got a worker while failures.isFaulty.
	lastProbeAt time.Time
	// waitReason is the last reason why a task of the class got no worker, waitReasonAt the time of that decision.
	waitReason   Reason
	waitReasonAt time.Time
}

// A window has windowSteps steps of length windowStep, the present one included.
const (
	windowStep  = 10 * time.Second
	windowSteps = 6
)

// window counts the events of the last 50 to 60 seconds in steps of 10 seconds.
type window struct {
	counts [windowSteps]float64
	// step is the number of the present step since the Unix epoch.
	step int64
}

// advance moves the window to now and clears the steps in between.
func (w *window) advance(now time.Time) {
	s := now.UnixNano() / int64(windowStep)
	for ; w.step < s; w.step++ {
		if s-w.step > windowSteps {
			w.step = s - windowSteps
		}
		w.counts[(w.step+1)%windowSteps] = 0
	}
}

func (w *window) add(now time.Time, v float64) {
	w.advance(now)
	w.counts[w.step%windowSteps] += v
}

// sumOfNewest returns the sum over the newest n steps, the present one included.
func (w *window) sumOfNewest(now time.Time, n int64) float64 {
	w.advance(now)
	var sum float64
	for i := int64(0); i < n; i++ {
		sum += w.counts[((w.step-i)%windowSteps+windowSteps)%windowSteps]
	}
	return sum
}

func (p *Policy) recordCall(now time.Time, m CallMsg) {
	u := p.class(m.Class)
	if u.kind != KindUrgent {
		return
	}
	u.answers.add(now, 1)
	if u.p99Target > 0 && m.Latency > u.p99Target {
		u.lateAnswers.add(now, 1)
	}
}

// isActive reports whether calls of the class were answered within the last minute.
func (u *class) isActive(now time.Time) bool { return u.answers.sumOfNewest(now, windowSteps) > 0 }

// minLearningAnswers is the number of answers in a minute below which a class has too few calls to learn from: at one
// call a second, estimates need minutes of reports to settle.
const minLearningAnswers = 60

// hasEnoughCalls reports whether enough calls of the class were answered within the last minute to learn from.
func (u *class) hasEnoughCalls(now time.Time) bool {
	return u.answers.sumOfNewest(now, windowSteps) >= minLearningAnswers
}

const (
	// allowedLateFraction is the fraction of answers that may exceed a 99th percentile target.
	allowedLateFraction = 0.01
	// evaluationInterval is the time between changes of a class's accepted slowdown, about the lag of reports.
	evaluationInterval = 10 * time.Second
	// minAcceptedFraction is the least accepted slowdown as a fraction of that set by WithMaxSlowdown.
	minAcceptedFraction = 0.2
	// acceptedDecrease and acceptedIncrease are the factors by which an evaluation changes the accepted slowdown.
	acceptedDecrease = 0.7
	acceptedIncrease = 1.05
)

// evaluateTarget decides whether the class misses its target and adapts the accepted slowdown. The class misses its
// target from the time that the late fraction is significantly above 1 % over the newest 3 steps (20 to 30 seconds)
// until it is at most 1 % over the last minute.
func (u *class) evaluateTarget(now time.Time, maxSlowdown float64) {
	if now.Sub(u.evaluatedAt) < evaluationInterval {
		return
	}
	u.evaluatedAt = now
	expected := allowedLateFraction * u.answers.sumOfNewest(now, 3)
	switch {
	case u.lateAnswers.sumOfNewest(now, 3) > expected+2*math.Sqrt(expected)+1:
		u.missesTarget = true
	case u.lateAnswers.sumOfNewest(now, windowSteps) <= allowedLateFraction*u.answers.sumOfNewest(now, windowSteps):
		u.missesTarget = false
	}
	if u.missesTarget {
		u.acceptedSlowdown = max(u.acceptedSlowdown*acceptedDecrease, maxSlowdown*minAcceptedFraction)
		return
	}
	u.acceptedSlowdown = min(u.acceptedSlowdown*acceptedIncrease, maxSlowdown)
}

// MissesTarget reports whether the urgent class misses its latency target.
func (p *Policy) MissesTarget(className string) bool {
	c := p.classes[className]
	return c != nil && c.missesTarget
}

// ExplainMiss returns why the class misses its target, or an empty text if it does not.
func (p *Policy) ExplainMiss(now time.Time, className string) string {
	c := p.classes[className]
	if c == nil {
		return "class is not configured"
	}
	if c.kind == KindUrgent {
		return p.explainUrgent(now, c)
	}
	if c.hourlyTarget <= 0 {
		return ""
	}
	rate := c.finished.sumOfNewest(now, windowSteps) * 60
	if rate >= c.hourlyTarget {
		return ""
	}
	text := fmt.Sprintf("finished %.0f tasks an hour of %.0f", rate, c.hourlyTarget)
	if now.Sub(c.waitReasonAt) < time.Minute {
		return text + ": " + string(c.waitReason)
	}
	return text + ": too few tasks were offered or they ran longer than planned"
}

func (p *Policy) explainUrgent(now time.Time, u *class) string {
	if !u.missesTarget {
		return ""
	}
	n := u.answers.sumOfNewest(now, windowSteps)
	text := fmt.Sprintf("%.1f %% of answers in the last minute took over %s",
		100*u.lateAnswers.sumOfNewest(now, windowSteps)/max(n, 1), u.p99Target)
	if len(p.workers) == 0 {
		return text + ": no worker is held"
	}
	var worst *class
	var worstSlowdown, sum float64
	slowdownByClass := make([]float64, len(p.classesByIndex))
	for _, w := range p.workersInScan {
		for _, hist := range w.histories {
			if hist.currentCores() > 0 {
				slowdown := p.pairSlowdown(u, hist.class) * w.load(hist) / float64(len(p.workersInScan))
				slowdownByClass[hist.class.index] += slowdown
				sum += slowdown
				if slowdownByClass[hist.class.index] > worstSlowdown {
					worstSlowdown, worst = slowdownByClass[hist.class.index], hist.class
				}
			}
		}
	}
	switch {
	case p.zoneReturnedAt.After(now.Add(-2 * time.Minute)):
		return text + ": the zone has just returned"
	case worst != nil && sum > 0.5*p.maxSlowdown:
		return fmt.Sprintf("%s: batch tasks slow it down by %.0f %%, mostly class %s", text, 100*sum, worst.name)
	default:
		return text + ": batch tasks are not the cause; load or execution time of the class itself"
	}
}
