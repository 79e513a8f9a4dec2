package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/bootclock"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
)

// suspendableClock is the boot clock of a machine that can be suspended. Timers don't count a suspension.
type suspendableClock struct {
	bootclock.Clock
	// suspended is the length of all suspensions in nanoseconds.
	suspended atomic.Int64
}

// Now returns the time of the boot clock, which counts suspensions.
func (c *suspendableClock) Now() time.Time {
	return c.Clock.Now().Add(time.Duration(c.suspended.Load()))
}

// suspend suspends the machine for the given time, which passes at once.
func (c *suspendableClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// interruptedLog is a memoryLog that interferes with one renewal of the leader, and answers no later one.
type interruptedLog struct {
	*memoryLog
	clock *suspendableClock

	mu sync.Mutex
	// answer returns whether the attempt at the interrupted renewal is answered. It is nil until a renewal is to be
	// interrupted.
	answer func(attempt int) bool
	// attempts counts the attempts, carriedOutAt is when the first one was carried out, written where it is in the log.
	attempts     int
	carriedOutAt time.Time
	written      ledger.OffsetRange
	answered     bool
}

// interrupt has the next renewal interrupted.
func (l *interruptedLog) interrupt(answer func(attempt int) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer = answer
}

// interrupted returns when the interrupted renewal was carried out, and whether it was answered.
func (l *interruptedLog) interrupted() (carriedOutAt time.Time, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carriedOutAt, l.answered
}

// Append implements ledger.Store. It answers no renewal after the interrupted one.
func (l *interruptedLog) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	if a.Partition != renewalPartition || len(a.Records) == 0 {
		return l.memoryLog.Append(ctx, a)
	}
	written, ok, err := l.renew(ctx, a)
	if !ok {
		<-ctx.Done()
		return ledger.OffsetRange{}, ctx.Err()
	}
	return written, err
}

// renew carries out a renewal once and reports whether it is answered.
func (l *interruptedLog) renew(ctx context.Context, a ledger.Append) (written ledger.OffsetRange, ok bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.answer == nil:
		written, err = l.memoryLog.Append(ctx, a)
		return written, true, err
	case l.answered:
		return ledger.OffsetRange{}, false, nil
	}
	if l.attempts++; l.attempts == 1 {
		l.carriedOutAt = l.clock.Now()
		if l.written, err = l.memoryLog.Append(ctx, a); err != nil {
			return ledger.OffsetRange{}, true, errors.Wrap(err, "renew")
		}
	}
	l.answered = l.answer(l.attempts)
	return l.written, l.answered, nil
}

// TestRenewalConfirmsTermUntilItsFirstAttempt guards against a leader that goes on giving orders, and takes leases for
// expired, after a later leader counts it as ended: the other hosts count from when they saw its last renewal.
func TestRenewalConfirmsTermUntilItsFirstAttempt(t *testing.T) {
	Convey("A host leads", t, func() {
		clock := &suspendableClock{}
		log := &interruptedLog{memoryLog: newMemoryLog(), clock: clock}
		w := &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHostWithClock(t, "a", 0, log, w, clock)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) }), ShouldBeTrue)
		h.mu.Lock()
		leading := h.term
		h.mu.Unlock()
		Convey("and the answers to two attempts at a renewal are lost", func() {
			log.interrupt(func(attempt int) bool { return attempt > 2 })
		})
		Convey("and its machine is suspended while the answer to a renewal is on its way", func() {
			log.interrupt(func(int) bool {
				clock.suspend(5 * time.Second)
				return true
			})
		})
		var carriedOutAt time.Time
		So(eventually(10*time.Second, func() bool {
			at, answered := log.interrupted()
			carriedOutAt = at
			return answered
		}), ShouldBeTrue)
		time.Sleep(100 * time.Millisecond)
		So(leading.confirmedAt.Load(), ShouldBeLessThanOrEqualTo, carriedOutAt.UnixNano())
	})
}
