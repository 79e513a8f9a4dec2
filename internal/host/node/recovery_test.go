package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// TestRecoveryOfReturnedZone guards against a recovery of a lost zone that takes long and evicts tasks that run since the
// zone is back in service.
func TestRecoveryOfReturnedZone(t *testing.T) {
	Convey("A recovery that ends after the return of the zone evicts and moves none of its tasks", t, func() {
		p := newTestPlatform(t, 2, 1)
		a, b := p.start("a-1", "a"), p.start("b-1", "b")
		p.declareClasses(a, b)
		p.setZoneOut(a, "b", true)
		version, out := a.takenOutVersion("b")
		So(out, ShouldBeTrue)
		p.setZoneOut(a, "b", false)
		p.eventually(5*time.Second, "the hosts know that the zone is back", func() bool {
			return !a.isZoneTakenOut("b") && !b.isZoneTakenOut("b")
		})
		id := p.submitAccepted(b, 1, 5*time.Second)
		state := func() (state job.State, attempt int) {
			b.zone.mu.Lock()
			defer b.zone.mu.Unlock()
			if task := b.zone.jobs.Task(id + "/0"); task != nil {
				return task.State(), task.Attempt()
			}
			return job.Pending, 0
		}
		p.eventually(10*time.Second, "the task runs", func() bool { s, _ := state(); return s == job.Running })
		a.recoverZone(t.Context(), "b", version)
		s, attempt := state()
		So([]any{s, attempt}, ShouldResemble, []any{job.Running, 1})
	})
}

// TestSecondTakeOutIsWaitedFor guards against counting the wait of a zone's earlier take-out for a later one, when the
// zone was back in service for a moment.
func TestSecondTakeOutIsWaitedFor(t *testing.T) {
	Convey("The wait begins anew with each take-out that this host has read", t, func() {
		n := &Node{lostZones: map[string]*lostZone{}}
		n.config.state = config.NewState()
		now, offset := time.Unix(1000, 0), uint64(0)
		set := func(out bool) {
			_, base, _ := n.config.state.Zone("b")
			item, err := record.EncodeItem(config.RecordZone,
				config.ZoneUpdate{BaseVersion: base, Name: "b", Region: "north", TakenOut: out})
			So(err, ShouldBeNil)
			offset++
			So(n.config.state.Apply(now, offset, item), ShouldBeNil)
		}
		set(true)
		n.trackLostZones(now)
		n.trackLostZones(now.Add(time.Hour))
		So(n.lostZones["b"].since, ShouldEqual, now)
		set(false)
		set(true)
		n.trackLostZones(now.Add(2 * time.Hour))
		So(n.lostZones["b"].since, ShouldEqual, now.Add(2*time.Hour))
		set(false)
		n.trackLostZones(now.Add(3 * time.Hour))
		So(n.lostZones, ShouldBeEmpty)
	})
}
