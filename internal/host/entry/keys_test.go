package entry

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/access"
	"sassafraswind.example/sassafraswind/internal/request/route"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// TestJobsOfOtherTeams guards against a team that sees, cancels or takes over a job of another one, also at a host that
// forwards the request and after a change of the leader.
func TestJobsOfOtherTeams(t *testing.T) {
	Convey("Two hosts have a job of a team that is due later", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		hosts, stops := make([]*Host, 2), make([]func(), 2)
		for i, name := range []string{"a", "b"} {
			hosts[i], stops[i] = startHost(t, name, 0, log, w)
		}
		running := []int{0, 1}
		Reset(func() {
			for _, i := range running {
				stops[i]()
			}
		})
		So(eventually(10*time.Second, func() bool { return hosts[0].Ready() && hosts[1].Ready() }), ShouldBeTrue)
		id := strings.Repeat("0", 15) + "1"
		spec := workflow.Spec{Payload: "x", OccurrenceCount: 1, FirstDue: time.Now().Add(time.Hour), Steps: []workflow.Step{
			{Tasks: 1, Size: fleet.Size{Cores: 8000}, Estimate: time.Second, MaxUnavailable: -1},
		}}
		send := func(h *Host, a Action, team string) dispatch.Outcome {
			return sendRequest(h, Request{Action: a, Queue: "q", ID: id, Team: team, Spec: spec}).Outcome
		}
		check := func(h *Host) {
			So(send(h, ActionSubmit, "team-1"), ShouldEqual, dispatch.OutcomeAccepted)
			So(send(h, ActionSubmit, "team-2"), ShouldEqual, dispatch.OutcomeTaken)
			So(send(h, ActionShow, "team-1"), ShouldEqual, dispatch.OutcomeAccepted)
			So(send(h, ActionShow, "team-2"), ShouldEqual, dispatch.OutcomeUnknownJob)
			So(send(h, ActionShow, ""), ShouldEqual, dispatch.OutcomeAccepted)
			So(send(h, ActionCancel, "team-2"), ShouldEqual, dispatch.OutcomeUnknownJob)
			state := sendRequest(h, Request{Action: ActionShow, Queue: "q", ID: id, Team: "team-1"}).State
			So(state, ShouldEqual, dispatch.StateQueued)
		}
		Convey("which the other team doesn't see at either host", func() {
			check(hosts[0])
			check(hosts[1])
		})
		Convey("nor after a change of the leader", func() {
			check(hosts[0])
			leader := 0
			if isLeader(hosts[1]) {
				leader = 1
			}
			stops[leader]()
			running = []int{1 - leader}
			So(eventually(10*time.Second, func() bool { return isLeader(hosts[1-leader]) }), ShouldBeTrue)
			check(hosts[1-leader])
		})
	})
}

// earlierManifest is Manifest as hosts of the previous version know it.
type earlierManifest struct {
	Catalog struct{ Version uint64 }
	Routes  []struct {
		Host  string `msgpack:"h"`
		Queue string `msgpack:"q"`
	}
	MaxBody   int64
	MaxHeader int
}

// TestManifestBetweenVersions guards against keys that are lost on the way between hosts, and against a manifest with teams
// that a host of the previous version can't decode, or that loses its teams on the way through one.
func TestManifestBetweenVersions(t *testing.T) {
	key := access.Key{Digest: access.NewDigest("k1"), Team: "a"}
	m := Manifest{
		Catalog: dispatch.Catalog{
			Version: 3, Teams: map[string]dispatch.Team{"a": {Name: "a", Weight: 2, Quota: fleet.Size{Cores: 5}}},
		},
		Routes: []route.Route{{Host: "h", Queue: "q", Anonymous: true}}, Keys: []access.Key{key}, IncludesTeams: true,
	}
	Convey("A manifest with teams", t, func() {
		data, err := msgpack.Marshal(&m)
		So(err, ShouldBeNil)
		Convey("is the same at the next host", func() {
			var got Manifest
			So(msgpack.Unmarshal(data, &got), ShouldBeNil)
			So(got, ShouldResemble, m)
		})
		Convey("is decoded by the previous version, and what that sends on replaces no manifest with teams", func() {
			var earlier earlierManifest
			So(msgpack.Unmarshal(data, &earlier), ShouldBeNil)
			So(earlier.Catalog.Version, ShouldEqual, 3)
			So(earlier.Routes[0].Queue, ShouldEqual, "q")
			earlier.Catalog.Version = 4
			data, err := msgpack.Marshal(&earlier)
			So(err, ShouldBeNil)
			var got Manifest
			So(msgpack.Unmarshal(data, &got), ShouldBeNil)
			So(lacksTeams(&m, &got), ShouldBeTrue)
			So(lacksTeams(&Manifest{}, &got), ShouldBeFalse)
			So(lacksTeams(&m, &Manifest{IncludesTeams: true}), ShouldBeFalse)
		})
	})
}
