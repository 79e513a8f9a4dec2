package policy

import (
	"fmt"
	"math"
	"time"
)

// class is what the policy knows of a class of work.
type class struct {
	name  string
	kind  Kind
	index int

	// p99 is the answer time target of an urgent class, target the tasks to finish per hour of a batch class.
	p99    time.Duration
	target float64

	running  int
	finished window
	// size is what is planned with, own and others what this host and other hosts learned.
	size, own, others sizes
	budget            budget
	record            failureRecord

	// model and the fields down to state are used by urgent classes only. allow is the slowdown accepted
	// on a worker, lowered while the class misses its target.
	model   *model
	allow   float64
	answers window
	late    window
	missing bool
	judged  time.Time

	// trial is the only worker that runs tasks of this batch class while one of its pairs is unknown.
	trial string
	tried time.Time
	// first is the begin of the first trial.
	first time.Time
	// probed is when the class last got a worker while its record was faulty.
	probed time.Time
	// blocked is the last reason for which a task of the class got no worker.
	blocked   Reason
	blockedAt time.Time
}

const (
	stepLength = 10 * time.Second
	steps      = 6
)

// window counts events in the last minute in steps of 10 seconds.
type window struct {
	counts [steps]float64
	step   int64
}

func (w *window) advance(now time.Time) {
	s := now.UnixNano() / int64(stepLength)
	for ; w.step < s; w.step++ {
		if s-w.step > steps {
			w.step = s - steps
		}
		w.counts[(w.step+1)%steps] = 0
	}
}

func (w *window) add(now time.Time, v float64) {
	w.advance(now)
	w.counts[w.step%steps] += v
}

// last returns the sum over the newest n steps, the present one included.
func (w *window) last(now time.Time, n int64) float64 {
	w.advance(now)
	var sum float64
	for i := int64(0); i < n; i++ {
		sum += w.counts[((w.step-i)%steps+steps)%steps]
	}
	return sum
}

func (p *Policy) answered(now time.Time, m CallMsg) {
	u := p.class(m.Class)
	if u.kind != KindUrgent {
		return
	}
	u.answers.add(now, 1)
	if u.p99 > 0 && m.Total > u.p99 {
		u.late.add(now, 1)
	}
}

// active reports whether calls of the class were answered within the last minute.
func (u *class) active(now time.Time) bool { return u.answers.last(now, steps) > 0 }

// lightAnswers is the number of answers in a minute below which a class is too quiet to learn anything about: at one
// call a second a report needs minutes to settle.
const lightAnswers = 60

// busy reports whether enough calls of the class were answered within the last minute to learn from.
func (u *class) busy(now time.Time) bool { return u.answers.last(now, steps) >= lightAnswers }

const (
	// lateShare is the share of answers that may be over a 99th percentile target.
	lateShare = 0.01
	// judgeEvery is the time between changes of a class's accepted slowdown: about the lag of reports.
	judgeEvery = 10 * time.Second
	// allowFloor is the least accepted slowdown, as a share of the configured one.
	allowFloor = 0.2
	allowDown  = 0.7
	allowUp    = 1.05
)

// judge decides whether the class misses its target and adapts the accepted slowdown. The class counts as
// missing its target from the time that the late share is significantly above 1 % in 20 seconds, until it is
// below 1 % over the last minute.
func (u *class) judge(now time.Time, harm float64) {
	if now.Sub(u.judged) < judgeEvery {
		return
	}
	u.judged = now
	expected := lateShare * u.answers.last(now, 3)
	switch {
	case u.late.last(now, 3) > expected+2*math.Sqrt(expected)+1:
		u.missing = true
	case u.late.last(now, steps) <= lateShare*u.answers.last(now, steps):
		u.missing = false
	}
	if u.missing {
		u.allow = max(u.allow*allowDown, harm*allowFloor)
		return
	}
	u.allow = min(u.allow*allowUp, harm)
}

// Missing reports whether the urgent class misses its answer time target.
func (p *Policy) Missing(className string) bool {
	c := p.classes[className]
	return c != nil && c.missing
}

// Explain returns why the class misses its target, or an empty text if it does not.
func (p *Policy) Explain(now time.Time, className string) string {
	c := p.classes[className]
	if c == nil {
		return "class is not configured"
	}
	if c.kind == KindUrgent {
		return p.explainUrgent(now, c)
	}
	if c.target <= 0 {
		return ""
	}
	rate := c.finished.last(now, steps) * 60
	if rate >= c.target {
		return ""
	}
	text := fmt.Sprintf("finished %.0f tasks an hour of %.0f", rate, c.target)
	if now.Sub(c.blockedAt) < time.Minute {
		return text + ": " + string(c.blocked)
	}
	return text + ": too few tasks were offered or they ran longer than planned"
}

func (p *Policy) explainUrgent(now time.Time, u *class) string {
	if !u.missing {
		return ""
	}
	n := u.answers.last(now, steps)
	text := fmt.Sprintf("%.1f %% of answers in the last minute took over %s", 100*u.late.last(now, steps)/max(n, 1), u.p99)
	if len(p.workers) == 0 {
		return text + ": no worker is held"
	}
	var worst *class
	var harm, sum float64
	by := make([]float64, len(p.list))
	for _, w := range p.order {
		for _, l := range w.levels {
			if l.value() > 0 {
				h := p.k(u, l.class) * w.load(l) / float64(len(p.order))
				by[l.class.index] += h
				sum += h
				if by[l.class.index] > harm {
					harm, worst = by[l.class.index], l.class
				}
			}
		}
	}
	switch {
	case p.returned.After(now.Add(-2 * time.Minute)):
		return text + ": the zone has just returned"
	case worst != nil && sum > 0.5*p.harm:
		return fmt.Sprintf("%s: batch tasks slow it down by %.0f %%, mostly class %s", text, 100*sum, worst.name)
	default:
		return text + ": batch tasks are not the cause; load or execution time of the class itself"
	}
}
