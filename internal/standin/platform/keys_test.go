package platform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// changeTenants writes manifests with changed keys, weights and quotas for the given time, some in quick succession and some
// after an invalid one with the same version.
func (d *deployment) changeTenants(rng *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(between(rng, 100*time.Millisecond, 3*time.Second)) {
		for range 1 + rng.IntN(4) {
			d.mu.Lock()
			d.version++
			version := d.version
			d.mu.Unlock()
			if rng.IntN(3) == 0 {
				invalid, err := d.tenants.Manifest(version)
				if err == nil {
					text := strings.Replace(string(invalid), `"Weight":`, `"Weight":-`, 1)
					d.platform.store.put(operatorTopic, "config", []byte(text))
				}
			}
			d.tenants.Change()
			manifest, err := d.tenants.Manifest(version)
			if err == nil {
				err = d.platform.SetManifest(manifest)
			}
			if err != nil {
				d.t.Errorf("write manifest: %v", err)
			}
			time.Sleep(between(rng, 0, 100*time.Millisecond))
		}
	}
}

// intrude has callers with any key ask for, cancel and submit again the jobs that were sent, for the given time.
func (d *deployment) intrude(rng *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(between(rng, 0, 60*time.Millisecond)) {
		d.mu.Lock()
		known := len(d.jobs)
		d.mu.Unlock()
		if known == 0 {
			continue
		}
		n, key, kind := rng.IntN(known), d.tenants.DrawKey(rng), rng.IntN(10)
		d.mu.Lock()
		job := d.jobs[n]
		d.mu.Unlock()
		id, method := fmt.Sprintf("%016x", n), http.MethodGet
		switch {
		case kind == 0:
			method = http.MethodDelete
		// The ID of a job that was refused may be taken by any tenant.
		case kind < 3 && d.platform.recorder.isAccepted(id):
			method = http.MethodPost
		}
		go sendWithKey(method, d.platform.IngressAddress(), RouteHost, BatchPrefix+id, key, job)
	}
}

// TestKeysOfTenants guards against a call that is carried out, or refused, by a manifest that is no longer in force, while
// keys change in quick succession, hosts restart and leaders change, first with all calls to the store, then with one host
// cut off from it, and at last, under one leader, with all of them cut off.
func TestKeysOfTenants(t *testing.T) {
	// The last part begins after the last change of the leader, which a host without the store can't survive.
	const calmLength, oneCutLength, allCutLength = 8 * time.Second, faultyTime - 7*time.Second, 8 * time.Second
	const length = calmLength + oneCutLength + allCutLength
	seed := envNumber(t, envSeed, 1)
	Convey("Keys that change are in force in time, and never too long", t, func() {
		tenants := NewTenants(rand.New(rand.NewPCG(seed, 30)), 3)
		d := startTenants(t, []string{"a", "b"}, seed, 3, DefaultDeparture(), runHere, tenants)
		var wg sync.WaitGroup
		for _, fn := range []func(){
			func() { d.submitJobs(rand.New(rand.NewPCG(seed, 10))) },
			func() { d.changeTenants(rand.New(rand.NewPCG(seed, 32)), length) },
			func() { d.intrude(rand.New(rand.NewPCG(seed, 33)), length) },
			func() { d.replaceLeaders(rand.New(rand.NewPCG(seed, 12))) },
			func() {
				time.Sleep(calmLength)
				d.setStoreFaults(Faults{Silent: true}, d.hosts[rand.New(rand.NewPCG(seed, 34)).IntN(len(d.hosts))])
				time.Sleep(oneCutLength)
				d.setStoreFaults(Faults{Silent: true})
				time.Sleep(allCutLength)
				d.setStoreFaults(Faults{})
			},
		} {
			wg.Go(fn)
		}
		wg.Wait()
		So(eventually(5*time.Second, func() bool {
			status, _ := sendWithKey(http.MethodGet, d.platform.IngressAddress(), RouteHost, BatchPrefix, tenants.Key(0), nil)
			return status == http.StatusOK
		}), ShouldBeTrue)
		r := d.platform.Report()
		t.Logf("seed %d: %d jobs, %d refused, %d manifests, %d answers 401", seed, r.Accepted, r.Refused, d.version, r.Unauthorized)
		for _, v := range r.Violations {
			So(v.Rule, ShouldNotEqual, RuleKeys)
		}
		// Else the callers have shown nothing.
		So(r.Accepted, ShouldBeGreaterThan, 0)
		So(r.Unauthorized, ShouldBeGreaterThan, 0)
	})
}

// TestRulesOfTenants guards against a broken rule on keys or quotas that is not reported, and against a report of what the
// rules allow.
func TestRulesOfTenants(t *testing.T) {
	Convey("With a manifest whose key k1 is replaced by k2 at 100 s", t, func() {
		f := newFixture()
		terms := func(at time.Duration, key string, cores int64) *manifestTerms {
			v := newManifestTerms(&manifestBody{Tenants: []tenantBody{
				{Name: "a", APIKeys: []string{key}, MaxCount: capacityBody{CPU: cores}}, {Name: "b", APIKeys: []string{"kb"}},
			}}, f.now.Add(at))
			v.ackedAt = v.begunAt
			return v
		}
		f.recorder.hasTenants = true
		f.recorder.manifests = []*manifestTerms{terms(0, "k1", 1000), terms(100*time.Second, "k2", 1000)}
		// check returns the rules that an answer to a call which was sent at a time breaks.
		check := func(key string, at time.Duration, status int) []Rule {
			sentAt := f.now.Add(at)
			f.recorder.checkAnswer("j", keyedCall{queue: "q", key: key, sentAt: sentAt}, status, sentAt.Add(time.Second))
			return f.rules()
		}
		Convey("either answer is right until the new version must be in force", func() {
			So(check("k1", 103*time.Second, 200), ShouldBeEmpty)
			So(check("k1", 103*time.Second, 401), ShouldBeEmpty)
			So(check("k2", 103*time.Second, 401), ShouldBeEmpty)
			So(check("k2", 99500*time.Millisecond, 200), ShouldBeEmpty)
			So(check("k3", 50*time.Second, 401), ShouldBeEmpty)
			So(check("k3", 50*time.Second, 503), ShouldBeEmpty)
			So(check("", 50*time.Second, 401), ShouldBeEmpty)
		})
		Convey("a new key that is unknown too long is reported", func() {
			So(check("k2", 105*time.Second, 401), ShouldResemble, []Rule{RuleKeys})
		})
		Convey("a key that is refused before it is removed is reported", func() {
			So(check("k1", 50*time.Second, 401), ShouldResemble, []Rule{RuleKeys})
		})
		Convey("a removed key that is accepted too long is reported unless hosts were disturbed", func() {
			So(check("k1", 105*time.Second, 200), ShouldResemble, []Rule{RuleKeys})
			f.recorder.violations = nil
			f.recorder.disturbedAt = f.now.Add(104 * time.Second)
			So(check("k1", 105*time.Second, 200), ShouldBeEmpty)
		})
		Convey("a key that no manifest contained and is accepted is reported", func() {
			So(check("k3", 50*time.Second, 200), ShouldResemble, []Rule{RuleKeys})
		})
		Convey("a job that is shown to another tenant is reported, and a refusal is not", func() {
			f.recorder.keySent("j", keyedCall{queue: "q", key: "k1"})
			So(f.recorder.mayAct("j", keyedCall{queue: "q", key: "kb"}), ShouldBeFalse)
			So(f.recorder.mayAct("j", keyedCall{queue: "q", key: "k2"}), ShouldBeTrue)
			So(check("kb", 50*time.Second, 410), ShouldBeEmpty)
			So(check("kb", 50*time.Second, 409), ShouldBeEmpty)
			So(check("kb", 50*time.Second, 200), ShouldResemble, []Rule{RuleKeys})
		})
		Convey("a start of a job that was only sent with keys that no manifest contained is reported", func() {
			f.recorder.keySent("j", keyedCall{queue: "q", key: "k3"})
			f.start(f.a, "j.0.0.0", 1)
			So(f.rules(), ShouldResemble, []Rule{RuleKeys})
		})
		Convey("starts over the quota are reported beyond a tenth and one task", func() {
			f.recorder.submitted("w", Service, []byte(`{"Spec":"s","Steps":[{"Count":4,"Cpu":600,"EstimatedMs":60000}]}`))
			f.recorder.keySent("w", keyedCall{queue: "q", key: "k1"})
			f.start(f.a, "w.0.0.0", 1)
			f.start(f.a, "w.0.0.1", 1)
			So(f.rules(), ShouldBeEmpty)
			f.start(f.b, "w.0.0.2", 1)
			So(f.rules(), ShouldResemble, []Rule{RuleQuota})
		})
		Convey("a quota that was larger a short time ago counts", func() {
			f.recorder.manifests = []*manifestTerms{terms(-time.Minute, "k1", 2000), terms(-10*time.Second, "k1", 1000)}
			f.recorder.submitted("w", Service, []byte(`{"Spec":"s","Steps":[{"Count":4,"Cpu":600,"EstimatedMs":60000}]}`))
			f.recorder.keySent("w", keyedCall{queue: "q", key: "k1"})
			for i, w := range []*worker{f.a, f.a, f.b} {
				f.start(w, fmt.Sprintf("w.0.0.%d", i), 1)
			}
			So(f.rules(), ShouldBeEmpty)
		})
	})
}
