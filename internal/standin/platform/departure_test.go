package platform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// stepTime is the time that passes in a step.
const stepTime = 50 * time.Millisecond

// leavingWorker is a worker of a pool, with a run on it and an open connection to it.
type leavingWorker struct {
	pool   *pool
	member *member
	conn   net.Conn
	now    time.Time
}

// newLeavingWorker starts a worker with a run of a task that a caller has sent.
func newLeavingWorker(t *testing.T, seed uint64, d Departure) *leavingWorker {
	l := &leavingWorker{pool: newTestPool(seed, d), now: time.Now()}
	So(l.pool.add(t.Context(), "z", l.now), ShouldBeNil)
	l.member = l.pool.members[0]
	So(l.pool.recorder.submitted("j", Service, []byte(`{"Spec":"s","Steps":[{"Count":1,"Cpu":1000,"LongRunning":true}]}`)),
		ShouldBeTrue)
	l.pool.recorder.answered("j", http.StatusOK, l.now)
	l.start(l.member, 1)
	var err error
	l.conn, err = new(net.Dialer).DialContext(t.Context(), "tcp", l.member.server.address())
	So(err, ShouldBeNil)
	Reset(func() { _ = l.conn.Close() })
	// A connection is idle only after its first request.
	_, err = fmt.Fprintf(l.conn, "POST /hold HTTP/1.1\r\nHost: w\r\nContent-Length: 2\r\n\r\n{}")
	So(err, ShouldBeNil)
	resp, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	So(err, ShouldBeNil)
	So(resp.Body.Close(), ShouldBeNil)
	return l
}

// start sends a start of the task with the longest lease.
func (l *leavingWorker) start(m *member, number int) {
	m.worker.start(orderBody{Task: "j.0.0.0", RunID: number, Spec: "s", UntilMs: 1e9, FencingToken: 1}, l.now)
}

// pass lets time pass.
func (l *leavingWorker) pass(t *testing.T) {
	l.now = l.now.Add(stepTime)
	l.pool.step(t.Context(), l.now)
}

// isListed reports whether the worker has an entry.
func (l *leavingWorker) isListed() bool {
	for _, item := range l.pool.store.newest(partitionID{topic: workerTopic}, "").Items {
		if item.Key == l.member.worker.id {
			return len(item.Value) > 0
		}
	}
	return false
}

// missing returns what has ended of the worker: its entry, the listener at its address, the connection, and its runs.
func (l *leavingWorker) missing(t *testing.T) []string {
	var missing []string
	if !l.isListed() {
		missing = append(missing, "entry")
	}
	if c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.member.server.address()); err != nil {
		missing = append(missing, "listener")
	} else {
		_ = c.Close()
	}
	So(l.conn.SetReadDeadline(time.Now().Add(5*time.Millisecond)), ShouldBeNil)
	if _, err := l.conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		missing = append(missing, "connection")
	}
	if l.pool.recorder.report().Running == 0 {
		missing = append(missing, "runs")
	}
	return missing
}

// TestWorkerLeavesInSteps guards against a stand-in whose workers leave in one instant, on which a leader that takes the runs
// of a worker for ended by other signs breaks no rule.
func TestWorkerLeavesInSteps(t *testing.T) {
	Convey("A worker that leaves loses its entry, listener and connections in any order, and its runs last", t, func() {
		first := map[string]int{}
		for seed := range uint64(12) {
			l := newLeavingWorker(t, seed, Departure{Spread: time.Second, Linger: time.Second})
			_, err := l.pool.change(t.Context(), ActionDrain, 1, "", l.now)
			So(err, ShouldBeNil)
			// The last step of time before the worker begins to leave.
			l.now = l.now.Add(drainTime + drainExcess - 2*stepTime)
			l.pass(t)
			So(l.missing(t), ShouldBeEmpty)
			var seen []string
			lingered := 0
			for latest := l.now.Add(2*time.Second + stepTime); l.now.Before(latest); {
				l.pass(t)
				missing := l.missing(t)
				if len(missing) == 3 {
					So(missing, ShouldNotContain, "runs")
					lingered++
				}
				if len(missing) > 0 && len(seen) == 0 {
					seen = missing
				}
			}
			So(l.missing(t), ShouldHaveLength, 4)
			So(l.pool.members, ShouldBeEmpty)
			So(l.pool.recorder.report().Vanished, ShouldEqual, 1)
			first[strings.Join(seen, ",")]++
			first["lingered"] += min(lingered, 1)
		}
		for _, step := range []string{"entry", "listener", "connection", "lingered"} {
			So(first[step], ShouldBeGreaterThan, 0)
		}
	})
	Convey("A start elsewhere breaks a rule until its lease has lapsed or it has ended", t, func() {
		l := newLeavingWorker(t, 1, Departure{Spread: time.Second, Linger: time.Minute})
		So(l.pool.add(t.Context(), "z", l.now), ShouldBeNil)
		other := l.pool.members[1]
		l.member.departure = l.pool.cfg.Departure.newDeparture(
			l.pool.rng, l.now, func() { l.pool.unlist(l.member) }, l.member.server.refuse, func() { l.pool.disconnect(l.member) },
		)
		end := l.now.Add(time.Second)
		for l.now.Before(end) {
			l.pass(t)
		}
		So(l.missing(t), ShouldNotContain, "runs")
		l.start(other, 2)
		So(l.pool.recorder.report().Violations, ShouldHaveLength, 1)
		So(l.pool.recorder.report().Violations[0].Rule, ShouldEqual, RuleTwice)
		end = l.now.Add(maxLease + maxLease/10)
		for l.now.Before(end) {
			l.pass(t)
		}
		So(l.pool.recorder.report().Ended["lapsed"], ShouldEqual, 2)
		l.start(other, 3)
		So(l.pool.recorder.report().Violations, ShouldHaveLength, 1)
	})
}

// TestReplacedWorkerGoesOn guards against a stand-in in which the runs of a worker end with its listener.
func TestReplacedWorkerGoesOn(t *testing.T) {
	Convey("Another worker listens at once at the address of a worker whose run goes on", t, func() {
		l := newLeavingWorker(t, 1, Departure{Spread: time.Second, Linger: time.Second})
		_, err := l.pool.change(t.Context(), ActionReplace, 1, "", l.now)
		So(err, ShouldBeNil)
		So(l.pool.members, ShouldHaveLength, 2)
		replacement := l.pool.members[1]
		So(replacement.server.address(), ShouldEqual, l.member.server.address())
		So(replacement.worker.id, ShouldNotEqual, l.member.worker.id)
		So(replacement.worker.boot, ShouldBeGreaterThan, l.member.worker.boot)
		So(l.missing(t), ShouldBeEmpty)
		l.start(replacement, 2)
		So(l.pool.recorder.report().Violations, ShouldHaveLength, 1)
		So(l.pool.recorder.report().Violations[0].Rule, ShouldEqual, RuleTwice)
		for end := l.now.Add(2 * time.Second); l.now.Before(end); {
			l.pass(t)
		}
		So(l.pool.members, ShouldHaveLength, 1)
		So(l.pool.members[0], ShouldEqual, replacement)
		So(l.pool.recorder.report().Running, ShouldEqual, 1)
	})
}
