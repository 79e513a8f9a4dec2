package entry

import (
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/host/bootclock"
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
			return sendRequest(h, Request{Action: a, Queue: "q", ID: id, Team: team, ManifestVersion: 9, Spec: spec}).Outcome
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

// TestFullManifestReplacesOneWithoutTeams guards against a host that has its first manifest from a leader of the previous version,
// without the teams, and serves all routes without keys until the next version.
func TestFullManifestReplacesOneWithoutTeams(t *testing.T) {
	Convey("A host has a manifest that lacks its teams", t, func() {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		h := &Host{log: quiet}
		lacking := versionManifest(2)
		lacking.Catalog.Teams, lacking.Keys, lacking.IncludesTeams = nil, nil, false
		h.applyManifest(lacking, "leader")
		So(h.Routing().Access, ShouldBeNil)
		So(h.KeyState(), ShouldEqual, access.Confirmed)
		h.applyManifest(versionManifest(1), "store")
		So(h.Routing().Access, ShouldBeNil)
		Convey("the full one of the same version replaces it, but not the other way round", func() {
			h.applyManifest(versionManifest(2), "store")
			So(h.Routing().Access.Len(), ShouldEqual, 1)
			h.applyManifest(lacking, "leader")
			So(h.Routing().Access.Len(), ShouldEqual, 1)
		})
	})
}

// TestKeyStateWithoutManifest guards against a key that is called unknown since the first manifest, which isn't confirmed yet, has
// come into force between the reads of the state and of the keys.
func TestKeyStateWithoutManifest(t *testing.T) {
	Convey("The keys of a host without a manifest are unconfirmed", t, func() {
		So((&Host{}).KeyState(), ShouldEqual, access.Unconfirmed)
	})
}

// versionDirectory is a Directory with a list of manifests, whose version N has a route with the prefix /vN/ and the key
// kN of the team tN. A read waits for the next manifest.
type versionDirectory struct {
	*fakeWorker
	mu       sync.Mutex
	versions int
	changed  chan struct{}
}

func newVersionDirectory(w *fakeWorker) *versionDirectory {
	return &versionDirectory{fakeWorker: w, versions: 1, changed: make(chan struct{})}
}

// versionManifest returns the manifest of a version.
func versionManifest(v int) *Manifest {
	n := strconv.Itoa(v)
	return &Manifest{
		Catalog: dispatch.Catalog{
			Version: uint64(v), Queues: map[string]dispatch.Queue{"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2}},
			Teams: map[string]dispatch.Team{"t" + n: {Name: "t" + n, Weight: 1}},
		},
		Routes: []route.Route{{Host: "h", Prefix: "/v" + n + "/", Queue: "q"}},
		Keys:   []access.Key{{Digest: access.NewDigest("k" + n), Team: "t" + n}}, IncludesTeams: true,
	}
}

// add adds versions.
func (d *versionDirectory) add(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions += n
	close(d.changed)
	d.changed = make(chan struct{})
}

// OperatorChanges returns the next version only, as if each filled a page.
func (d *versionDirectory) OperatorChanges(ctx context.Context, from int64, wait time.Duration) (OperatorChanges, error) {
	d.mu.Lock()
	versions, changed := d.versions, d.changed
	d.mu.Unlock()
	if from < 0 {
		return OperatorChanges{Complete: true, NextOffset: int64(versions), Manifest: versionManifest(versions)}, nil
	}
	if from == int64(versions) {
		select {
		case <-changed:
		case <-time.After(wait):
			return OperatorChanges{NextOffset: from}, nil
		case <-ctx.Done():
			return OperatorChanges{}, ctx.Err()
		}
	}
	from++
	return OperatorChanges{NextOffset: from, Behind: from < int64(versions), Manifest: versionManifest(int(from))}, nil
}

// versionInForce returns the version that a host serves, 0 if none, and fails unless its routes and keys are of one version.
func versionInForce(h *Host) int {
	r := h.Routing()
	if r == nil {
		return 0
	}
	for v := 1; ; v++ {
		if _, _, ok := r.Table.Find("h", "/v"+strconv.Itoa(v)+"/"); ok {
			team, ok := r.Access.Authenticate("Token k" + strconv.Itoa(v))
			So(ok, ShouldBeTrue)
			So(team, ShouldEqual, "t"+strconv.Itoa(v))
			return v
		}
	}
}

// readTimeout is how long the store's client waits for the first byte of an answer that is due.
const readTimeout = 700 * time.Millisecond

// OperatorChanges of a timedDirectory fails if the answer is late, as that of the store's client does.
func (d timedDirectory) OperatorChanges(ctx context.Context, from int64, wait time.Duration) (OperatorChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return d.cutDirectory.OperatorChanges(ctx, from, wait)
}

type timedDirectory struct{ cutDirectory }

// startKeyHost starts a host that reads the directory over the path of its store.
func startKeyHost(
	t *testing.T, name string, s *cutStore, d *versionDirectory, r access.Revocation,
) (*Host, func()) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	h, stop := New(Config{
		Name: name, Zone: "z", PeerAddress: l.Addr().String(), Limits: dispatch.Limits{
			MaxLease: 6 * time.Second, JobRetention: time.Minute, RemoteFactor: 1,
			MaxUnconfirmedTerm: 2 * time.Second, MaxOverTarget: 4 * time.Second,
		}, Revocation: r,
	}, l, s, timedDirectory{cutDirectory{Directory: d, store: s}}, d, bootclock.Clock{}, quiet)
	return h, sync.OnceFunc(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stop(ctx)
	})
}

// TestSuccessiveManifests guards against routes and keys of different versions, and against a version that comes into force
// too late at a host: one that reads it in quick succession to others, has just started, or has to get it from a leader,
// before and after a change of the leader.
func TestSuccessiveManifests(t *testing.T) {
	// applyTime is Bounds.ConfigApplyMs without the time for the way between regions.
	const applyTime = 3500 * time.Millisecond
	Convey("Three hosts, of which one can't read the operators' records", t, func() {
		log, d := newMemoryLog(), newVersionDirectory(&fakeWorker{starts: map[string]int{}, startedAt: time.Now()})
		names := []string{"a", "b", "c"}
		hosts, stops, stores := make([]*Host, 3), make([]func(), 3), make([]*cutStore, 3)
		for i := range hosts {
			stores[i] = &cutStore{memoryLog: log}
			hosts[i], stops[i] = startKeyHost(t, names[i], stores[i], d, access.Revocation{})
			Reset(func() { stops[i]() })
			So(eventually(10*time.Second, func() bool { return isLeader(hosts[0]) && hosts[i].Ready() }), ShouldBeTrue)
		}
		inForce := func(v int, hosts ...*Host) func() bool {
			return func() bool {
				return !slices.ContainsFunc(hosts, func(h *Host) bool { return versionInForce(h) != v })
			}
		}
		stores[2].cut.Store(true)
		d.add(1)
		So(eventually(applyTime, inForce(2, hosts...)), ShouldBeTrue)
		Convey("have the last of many versions in time", func() {
			begun := time.Now()
			for range 40 {
				d.add(1)
				time.Sleep(5 * time.Millisecond)
			}
			So(eventually(applyTime-time.Since(begun), inForce(42, hosts...)), ShouldBeTrue)
			So(hosts[2].KeyState(), ShouldEqual, access.Confirmed)
		})
		Convey("have a version that comes with a change of the leader, and one that comes after it, in time", func() {
			begun := time.Now()
			d.add(1)
			stops[0]()
			So(eventually(applyTime-time.Since(begun), inForce(3, hosts[1:]...)), ShouldBeTrue)
			d.add(1)
			So(eventually(applyTime, inForce(4, hosts[1:]...)), ShouldBeTrue)
			So(eventually(applyTime, func() bool { return hosts[2].KeyState() == access.Confirmed }), ShouldBeTrue)
		})
		Convey("have it in time also if the host without the store claims the leadership at that time", func() {
			hosts[2].mu.Lock()
			claim := hosts[2].elector.Claim()
			hosts[2].mu.Unlock()
			hosts[2].recordLeaderEnd(claim, "test")
			hosts[2].wakeWatch()
			So(eventually(time.Second, func() bool {
				hosts[2].mu.Lock()
				defer hosts[2].mu.Unlock()
				return hosts[2].claiming
			}), ShouldBeTrue)
			begun := time.Now()
			d.add(1)
			stops[0]()
			So(eventually(applyTime-time.Since(begun), inForce(3, hosts[1:]...)), ShouldBeTrue)
		})
		Convey("have the newest version when they come back", func() {
			stops[1]()
			d.add(1)
			stores[1] = &cutStore{memoryLog: log}
			hosts[1], stops[1] = startKeyHost(t, "b", stores[1], d, access.Revocation{})
			So(eventually(applyTime, inForce(3, hosts...)), ShouldBeTrue)
		})
	})
}

// TestHostWithOldManifest guards against a host that is cut off with an old manifest, or comes back with one, and calls a
// newer key unknown.
func TestHostWithOldManifest(t *testing.T) {
	Convey("A host that leads and then can't read the operators' records", t, func() {
		log, d := newMemoryLog(), newVersionDirectory(&fakeWorker{starts: map[string]int{}, startedAt: time.Now()})
		s := &cutStore{memoryLog: log}
		h, stop := startKeyHost(t, "a", s, d, access.Revocation{})
		Reset(stop)
		judge := func(key string) access.Verdict {
			state := h.KeyState()
			_, v := h.Routing().Access.Judge("Token "+key, false, state)
			return v
		}
		So(eventually(10*time.Second, func() bool { return isLeader(h) && h.KeyState() == access.Confirmed }), ShouldBeTrue)
		So(judge("k1"), ShouldEqual, access.Granted)
		So(judge("k2"), ShouldEqual, access.KeyUnknown)
		s.cut.Store(true)
		cutAt := time.Now()
		d.add(1)
		// The newer key may be called unknown until ConfigApplyMs after the cut at most.
		for judge("k2") == access.KeyUnknown {
			So(time.Since(cutAt), ShouldBeLessThan, 4*time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		So(judge("k2"), ShouldEqual, access.KeyUndecided)
		So(judge("k1"), ShouldEqual, access.Granted)
		Convey("confirms nothing to other hosts", func() {
			r, err := h.handlePeerPing(context.Background(), Ping{Name: "b", Instance: "b", OperatorRecordsUnreadable: true})
			So(err, ShouldBeNil)
			So(r.Manifest, ShouldNotBeNil)
			So(r.ManifestVersion, ShouldEqual, 0)
		})
		Convey("is not confirmed by a leader with another one before it has that", func() {
			h.recordManifestAnswer(h.clock.Now(), PingResponse{ManifestVersion: 2})
			So(judge("k2"), ShouldEqual, access.KeyUndecided)
			h.applyManifest(versionManifest(2), "leader")
			h.recordManifestAnswer(h.clock.Now(), PingResponse{ManifestVersion: 2, ManifestAge: access.ConfirmedFor + time.Second})
			So(judge("k3"), ShouldEqual, access.KeyUndecided)
			h.recordManifestAnswer(h.clock.Now(), PingResponse{ManifestVersion: 2})
			So(judge("k3"), ShouldEqual, access.KeyUnknown)
			So(judge("k2"), ShouldEqual, access.Granted)
			So(judge("k1"), ShouldEqual, access.KeyUnknown)
		})
		Convey("takes over no older manifest, and knows the newer key once it can read them", func() {
			h.applyManifest(versionManifest(1), "leader")
			s.cut.Store(false)
			So(eventually(12*time.Second, func() bool { return judge("k1") == access.KeyUnknown }), ShouldBeTrue)
			So(judge("k2"), ShouldEqual, access.Granted)
		})
	})
	Convey("A host with strict revocation refuses all keys once it has been cut off for too long", t, func() {
		d := newVersionDirectory(&fakeWorker{starts: map[string]int{}, startedAt: time.Now()})
		s := &cutStore{memoryLog: newMemoryLog()}
		const after = 4 * time.Second
		h, stop := startKeyHost(t, "a", s, d, access.Revocation{Strict: true, After: after})
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return h.KeyState() == access.Confirmed && h.Routing() != nil }), ShouldBeTrue)
		s.cut.Store(true)
		cutAt := time.Now()
		So(eventually(after, func() bool { return h.KeyState() == access.Unconfirmed }), ShouldBeTrue)
		So(eventually(after, func() bool { return h.KeyState() == access.Expired }), ShouldBeTrue)
		So(time.Since(cutAt), ShouldBeLessThan, after+time.Second)
		s.cut.Store(false)
		So(eventually(after, func() bool { return h.KeyState() == access.Confirmed }), ShouldBeTrue)
	})
	Convey("A host that finds only an invalid manifest asks the leader for its own", t, func() {
		d := newVersionDirectory(&fakeWorker{starts: map[string]int{}, startedAt: time.Now()})
		h, stop := startKeyHost(t, "a", &cutStore{memoryLog: newMemoryLog()}, d, access.Revocation{})
		Reset(stop)
		So(eventually(10*time.Second, func() bool { return h.KeyState() == access.Confirmed && h.Routing() != nil }), ShouldBeTrue)
		h.recordOperatorRead(h.clock.Now(), OperatorChanges{ManifestHidden: true})
		So(h.KeyState(), ShouldEqual, access.Unconfirmed)
		h.recordOperatorRead(h.clock.Now(), OperatorChanges{})
		So(h.KeyState(), ShouldEqual, access.Unconfirmed)
		h.recordOperatorRead(h.clock.Now(), OperatorChanges{Manifest: versionManifest(2)})
		So(h.KeyState(), ShouldEqual, access.Confirmed)
	})
}
