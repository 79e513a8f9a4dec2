package backend

import (
	"cmp"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// usage averages the use of each class over windows of equal length.
type usage struct {
	window time.Duration
	// start is the beginning of the open window.
	start   time.Duration
	classes map[string]*classTotals
	// closed holds the windows that no report shows yet, and the newest one that does.
	closed []usageWindow
}

type usageWindow struct {
	end     time.Duration
	entries []fleet.Usage
}

// classTotals sums up one class in the open window. The sums are amounts times milliseconds.
type classTotals struct {
	cores, memory, accelerators float64
	calls                       int
	took                        time.Duration
}

func (u *usage) end() time.Duration { return u.start + u.window }

func (u *usage) totals(class string) *classTotals {
	m := u.classes[class]
	if m == nil {
		m = &classTotals{}
		u.classes[class] = m
	}
	return m
}

func (u *usage) addTaskUse(class string, use fleet.Size, share int, d time.Duration) {
	m, ms := u.totals(class), float64(d)/float64(time.Millisecond)
	m.cores += float64(use.Cores) * float64(share) / 100 * ms
	m.memory += float64(use.Memory) * ms
	m.accelerators += float64(use.Accelerators) * ms
}

func (u *usage) addCall(class string, took time.Duration) {
	m := u.totals(class)
	m.calls++
	m.took += took
}

// closeWindow closes the open window if it has ended.
func (u *usage) closeWindow(now time.Duration) {
	if now < u.end() {
		return
	}
	ms := float64(u.window) / float64(time.Millisecond)
	r := usageWindow{end: u.end()}
	for class, m := range u.classes {
		e := fleet.Usage{
			Class: class, Window: u.window, Calls: m.calls,
			Used: fleet.Size{
				Cores: int64(m.cores / ms), Memory: int64(m.memory / ms), Accelerators: int64(m.accelerators / ms),
			},
		}
		if m.calls > 0 {
			e.Mean = m.took / time.Duration(m.calls)
		}
		r.entries = append(r.entries, e)
	}
	slices.SortFunc(r.entries, func(a, b fleet.Usage) int { return cmp.Compare(a.Class, b.Class) })
	u.closed = append(u.closed, r)
	u.start, u.classes = u.end(), map[string]*classTotals{}
}

// skipWindows drops the windows of a time in which the worker was frozen.
func (u *usage) skipWindows(now time.Duration) {
	if n := (now - u.start) / u.window; n > 0 {
		u.start += n * u.window
		u.classes = map[string]*classTotals{}
	}
}

// report returns the newest window that ended at least lag ago.
func (u *usage) report(now, lag time.Duration) []fleet.Usage {
	for len(u.closed) > 1 && u.closed[1].end+lag <= now {
		u.closed = u.closed[1:]
	}
	if len(u.closed) == 0 || u.closed[0].end+lag > now {
		return nil
	}
	out := make([]fleet.Usage, len(u.closed[0].entries))
	for i, e := range u.closed[0].entries {
		e.Lag = now - u.closed[0].end
		out[i] = e
	}
	return out
}
