package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The load under which workers leave.
const (
	// loadTime is how long jobs arrive, loadInterval the time between two of them, and loadTail the time after the last one.
	loadTime     = 5 * time.Second
	loadInterval = 200 * time.Millisecond
	loadTail     = 5 * time.Second
	// changeInterval is the time between two changes, and before the first one.
	changeInterval = time.Second
	// runEstimate is the estimated duration of a task. What has started before its worker announces that it will leave is
	// at work for seconds after the worker begins to do so.
	runEstimate = 8 * time.Second
)

// changeUnderLoad has jobs of several tasks arrive while change is called again and again, and returns what was seen.
func (d *deployment) changeUnderLoad(change func()) Report {
	changeAt := time.Now().Add(changeInterval)
	for n, end := 0, time.Now().Add(loadTime); time.Now().Before(end); n++ {
		job := submissionBody{Spec: "b", Steps: []stepBody{
			{Count: 6, CPU: 500, MemMb: 256, EstimatedMs: runEstimate.Milliseconds()},
		}}
		go send(http.MethodPost, d.platform.IngressAddress(), RouteHost, fmt.Sprintf("%s%016x", BatchPrefix, n), job)
		if time.Now().After(changeAt) {
			changeAt = changeAt.Add(changeInterval)
			change()
		}
		time.Sleep(loadInterval)
	}
	time.Sleep(loadTail)
	return d.platform.Report()
}

// checkNoneTwice checks that no rule was broken, and that runs went on without their worker's address until they ended.
func checkNoneTwice(t *testing.T, r Report) {
	t.Helper()
	t.Logf("%d starts, %d tasks done, ends %v, %d vanished, %d violations", r.Starts, r.Done, r.Ended, r.Vanished,
		len(r.Violations))
	for _, v := range r.Violations {
		t.Logf("%+v", v)
	}
	So(r.Violations, ShouldBeEmpty)
	// Else no run has outlived the address of its worker.
	So(r.Vanished+r.Ended["lapsed"], ShouldBeGreaterThan, 0)
	So(r.Done, ShouldBeGreaterThan, 0)
}

// TestRunsOfLeavingWorkerAreNotStartedTwice guards against a leader that takes what runs on a worker for ended since the
// worker was draining, its entry is gone and its address refuses connections.
func TestRunsOfLeavingWorkerAreNotStartedTwice(t *testing.T) {
	Convey("What runs on workers that leave goes on for seconds after their entries and addresses are gone", t, func() {
		d := startZones(t, []string{"a", "b"}, 1, 3, Departure{Spread: 800 * time.Millisecond, Linger: 6 * time.Second})
		checkNoneTwice(t, d.changeUnderLoad(func() {
			_, err := d.platform.ChangeWorkers(ActionAdd, 2, "")
			So(err, ShouldBeNil)
			_, err = d.platform.ChangeWorkers(ActionDrain, 2, "")
			So(err, ShouldBeNil)
		}))
	})
}

// TestRunsOfReplacedWorkerAreNotStartedTwice guards against a leader that takes what runs on a worker for ended since another
// one of a later start answers at the worker's address.
func TestRunsOfReplacedWorkerAreNotStartedTwice(t *testing.T) {
	Convey("What runs on workers goes on for seconds after others have begun to listen at their addresses", t, func() {
		d := startZones(t, []string{"a", "b"}, 1, 3, Departure{Spread: 800 * time.Millisecond, Linger: 6 * time.Second})
		checkNoneTwice(t, d.changeUnderLoad(func() {
			_, err := d.platform.ChangeWorkers(ActionReplace, 2, "")
			So(err, ShouldBeNil)
		}))
	})
}
