package backend

import (
	"cmp"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// usage averages the resource use of each class over consecutive windows of equal length.
type usage struct {
	window time.Duration
	// start is the start of the current window.
	start   time.Duration
	classes map[string]*classTotals
	// closedWindows holds the newest window whose lag has passed, which report returns, and all later ones that have
	// ended, oldest first.
	closedWindows []usageWindow
}

// usageWindow is the usage of all classes in a window that has ended.
type usageWindow struct {
	end     time.Duration
	entries []fleet.Usage
}

// classTotals holds the sums of one class in the current window. The resource sums are amounts times milliseconds.
type classTotals struct {
	cores, memory, accelerators float64
	// calls is the number of finished calls and took the sum of their execution times.
	calls int
	took  time.Duration
}

// end returns the end of the current window.
func (u *usage) end() time.Duration { return u.start + u.window }

// totals returns the sums of the class in the current window.
func (u *usage) totals(class string) *classTotals {
	t := u.classes[class]
	if t == nil {
		t = &classTotals{}
		u.classes[class] = t
	}
	return t
}

// addTaskUse adds the use of a task that ran for the duration d at a share in percent.
func (u *usage) addTaskUse(class string, use fleet.Size, share int, d time.Duration) {
	t, ms := u.totals(class), float64(d)/float64(time.Millisecond)
	t.cores += float64(use.Cores) * float64(share) / 100 * ms
	t.memory += float64(use.Memory) * ms
	t.accelerators += float64(use.Accelerators) * ms
}

// addCall adds a finished call.
func (u *usage) addCall(class string, took time.Duration) {
	t := u.totals(class)
	t.calls++
	t.took += took
}

// closeWindow closes the current window, if it has ended, and opens the next one.
func (u *usage) closeWindow(now time.Duration) {
	if now < u.end() {
		return
	}
	ms := float64(u.window) / float64(time.Millisecond)
	w := usageWindow{end: u.end()}
	for class, t := range u.classes {
		e := fleet.Usage{
			Class: class, Window: u.window, Calls: t.calls,
			Used: fleet.Size{
				Cores: int64(t.cores / ms), Memory: int64(t.memory / ms), Accelerators: int64(t.accelerators / ms),
			},
		}
		if t.calls > 0 {
			e.Mean = t.took / time.Duration(t.calls)
		}
		w.entries = append(w.entries, e)
	}
	slices.SortFunc(w.entries, func(a, b fleet.Usage) int { return cmp.Compare(a.Class, b.Class) })
	u.closedWindows = append(u.closedWindows, w)
	u.start, u.classes = u.end(), map[string]*classTotals{}
}

// skipWindows drops the windows that ended while the worker was frozen, also the one in which it was frozen. The window
// that contains now becomes the current one.
func (u *usage) skipWindows(now time.Duration) {
	if n := (now - u.start) / u.window; n > 0 {
		u.start += n * u.window
		u.classes = map[string]*classTotals{}
	}
}

// report returns the usage in the newest window that ended at least lag ago, nil if there is none.
func (u *usage) report(now, lag time.Duration) []fleet.Usage {
	for len(u.closedWindows) > 1 && u.closedWindows[1].end+lag <= now {
		u.closedWindows = u.closedWindows[1:]
	}
	if len(u.closedWindows) == 0 || u.closedWindows[0].end+lag > now {
		return nil
	}
	out := make([]fleet.Usage, len(u.closedWindows[0].entries))
	for i, e := range u.closedWindows[0].entries {
		e.Lag = now - u.closedWindows[0].end
		out[i] = e
	}
	return out
}
