package entry

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// startedTasks returns the number of tasks that were started on the worker.
func (f *fakeWorker) startedTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// TestZonesReachTermBesideManifest guards against a leader that goes on starting tasks in an evacuated zone, or leaves a zone
// unused that is no longer evacuated, because the manifest that it read with the change is the one in force.
func TestZonesReachTermBesideManifest(t *testing.T) {
	Convey("A host leads", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) }), ShouldBeTrue)
		inForce, err := w.OperatorChanges(t.Context(), -1, 0)
		So(err, ShouldBeNil)
		submit := func(id string) {
			spec := workflow.Spec{Steps: []workflow.Step{{Tasks: 1, Estimate: 10 * time.Millisecond, MaxUnavailable: -1}}}
			r := sendRequest(h, Request{Action: ActionSubmit, Queue: "q", ID: id, Spec: spec})
			So(r.Outcome, ShouldEqual, dispatch.OutcomeAccepted)
		}
		starts := func(n int) func() bool { return func() bool { return w.startedTasks() == n } }
		submit("0000000000000001")
		So(eventually(5*time.Second, starts(1)), ShouldBeTrue)
		for name, m := range map[string]*Manifest{
			"the manifest in force": inForce.Manifest, "no manifest": nil, "an older manifest": {},
			"a newer manifest": versionManifest(2),
		} {
			Convey("and reads all records anew, with "+name, func() {
				if m != nil {
					m.Catalog.Queues, m.Catalog.Teams = inForce.Manifest.Catalog.Queues, nil
				}
				h.applyOperatorChanges(OperatorChanges{Complete: true, Manifest: m, EvacuatedZones: map[string]bool{"z": true}})
				submit("0000000000000002")
				So(eventually(500*time.Millisecond, starts(2)), ShouldBeFalse)
				Convey("and the end of the evacuation likewise", func() {
					h.applyOperatorChanges(OperatorChanges{Complete: true, Manifest: m})
					So(eventually(3*time.Second, starts(2)), ShouldBeTrue)
				})
			})
		}
		Convey("and a zone is evacuated beside a manifest without its teams", func() {
			h.applyManifest(versionManifest(2), "store")
			lacking := versionManifest(3)
			lacking.IncludesTeams = false
			h.applyOperatorChanges(OperatorChanges{Manifest: lacking, EvacuatedZones: map[string]bool{"z": true}})
			h.mu.Lock()
			term, c := h.term, h.configuration
			h.mu.Unlock()
			So(c.manifest.Catalog.Version, ShouldEqual, 2)
			term.mu.Lock()
			defer term.mu.Unlock()
			So(term.configurationRevision, ShouldEqual, c.revision)
		})
	})
}

// TestTermKeepsLatestConfiguration guards against a term that ends up with an older configuration than its host, because two
// changes arrive at the same time or the state is restored meanwhile.
func TestTermKeepsLatestConfiguration(t *testing.T) {
	Convey("A term ignores a configuration that is older than its own", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		h, stop := startHost(t, "a", 0, log, w)
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return isLeader(h) }), ShouldBeTrue)
		h.mu.Lock()
		term := h.term
		h.mu.Unlock()
		revisions := func() (ofTerm, ofHost uint64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			term.mu.Lock()
			defer term.mu.Unlock()
			return term.configurationRevision, h.configuration.revision
		}
		Convey("which is passed late", func() {
			h.mu.Lock()
			older := h.configuration
			h.mu.Unlock()
			h.applyOperatorChanges(OperatorChanges{EvacuatedZones: map[string]bool{"z": true}})
			term.applyConfiguration(older)
			ofTerm, ofHost := revisions()
			So(ofTerm, ShouldEqual, ofHost)
			So(ofTerm, ShouldBeGreaterThan, older.revision)
		})
		Convey("when manifests of another host and zones of the store come at once", func() {
			var wg sync.WaitGroup
			wg.Go(func() {
				for n := range 100 {
					h.applyManifest(versionManifest(10+n), "leader")
				}
			})
			wg.Go(func() {
				for n := range 100 {
					h.applyOperatorChanges(OperatorChanges{EvacuatedZones: map[string]bool{"z": n%2 == 0}})
				}
			})
			wg.Wait()
			ofTerm, ofHost := revisions()
			So(ofTerm, ShouldEqual, ofHost)
			So(ofHost, ShouldBeGreaterThan, 199)
		})
	})
}

func TestConfigurationWithZones(t *testing.T) {
	Convey("Changes add to the evacuated zones, and a complete read replaces them", t, func() {
		c := configuration{}.withZones(map[string]bool{"a": true, "b": true}, false)
		next := c.withZones(map[string]bool{"b": false, "c": true}, false)
		So(next.evacuated, ShouldResemble, map[string]bool{"a": true, "c": true})
		So(c.evacuated, ShouldResemble, map[string]bool{"a": true, "b": true})
		So(next.withZones(map[string]bool{"b": true}, true).evacuated, ShouldResemble, map[string]bool{"b": true})
		So(next.withZones(nil, true).equal(configuration{}), ShouldBeTrue)
	})
}
