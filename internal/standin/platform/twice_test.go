package platform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// faultyTime is how long the faults of a schedule last, callTime the part of it in which jobs arrive.
	faultyTime = 18 * time.Second
	callTime   = 15 * time.Second
	// callInterval is the mean time between two jobs.
	callInterval = 200 * time.Millisecond
)

// TestNoTaskRunsTwiceUnderLostAnswers guards against a leader that takes a run for ended, or for never started, because
// the answers or the connections of its worker were lost, or its worker is about to leave. PLATFORM_SEED draws another schedule.
func TestNoTaskRunsTwiceUnderLostAnswers(t *testing.T) {
	seed := envNumber(t, envSeed, 1)
	rng := rand.New(rand.NewPCG(seed, 30))
	var tenants *Tenants
	if rng.IntN(tenantsShare) == 0 {
		tenants = NewTenants(rng, 2+rng.IntN(3))
	}
	title := "Lost answers, late calls, blackholed connections, departures and changes of leader start no task twice"
	playLostAnswers(t, title, seed, tenants, func(rule Rule) bool {
		return rule == RuleTwice || rule == RuleLimit || rule == RuleKeys
	})
}

// TestQuotasHoldUnderLostAnswers guards against a leader that brings a tenant over its quota because it takes a run for ended,
// or for never started, in the same schedule.
func TestQuotasHoldUnderLostAnswers(t *testing.T) {
	seed := envNumber(t, envSeed, 1)
	tenants := NewTenants(rand.New(rand.NewPCG(seed, 30)), 3)
	playLostAnswers(t, "Lost answers bring no tenant over its quota", seed, tenants, func(rule Rule) bool {
		return rule == RuleQuota
	})
}

// tenantsShare is the share of the seeds that draw tenants, as one in so many.
const tenantsShare = 3

// playLostAnswers plays the schedule of a seed, with the tenants unless they are nil. It fails if a rule for which checks is
// true was broken.
func playLostAnswers(t *testing.T, title string, seed uint64, tenants *Tenants, checks func(Rule) bool) {
	Convey(title, t, func() {
		d := startTenants(t, []string{"a", "b"}, seed, 3, DefaultDeparture(), runHere, tenants)
		d.call(http.MethodPost, ServingPrefix+"00000000000000a1", servingJob())
		var wg sync.WaitGroup
		for _, fn := range []func(){
			func() { d.submitJobs(rand.New(rand.NewPCG(seed, 10))) },
			func() { d.disturb(rand.New(rand.NewPCG(seed, 11)), faultyTime) },
			func() { d.replaceLeaders(rand.New(rand.NewPCG(seed, 12))) },
		} {
			wg.Go(fn)
		}
		if tenants != nil {
			wg.Go(func() { d.changeTenants(rand.New(rand.NewPCG(seed, 32)), faultyTime) })
			wg.Go(func() { d.intrude(rand.New(rand.NewPCG(seed, 33)), faultyTime) })
		}
		wg.Wait()
		r := d.platform.Report()
		t.Logf("seed %d: %d jobs, %d starts, %d tasks done, ends %v, %d vanished; tenants %t, %d manifests, %d answers 401", seed,
			r.Accepted, r.Starts, r.Done, r.Ended, r.Vanished, tenants != nil, d.version, r.Unauthorized)
		var broken []string
		for _, v := range r.Violations {
			t.Logf("%+v", v)
			if checks(v.Rule) {
				broken = append(broken, fmt.Sprintf("%+v", v))
			}
		}
		So(broken, ShouldBeEmpty)
		// Else the schedule has shown nothing.
		So(r.Done, ShouldBeGreaterThan, 0)
	})
}

// envSeed is the environment variable that holds the seed of another schedule.
const envSeed = "PLATFORM_SEED"

// envNumber returns the number in an environment variable, or the given one if it is not set.
func envNumber(t *testing.T, name string, n uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return n
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// between returns a random time.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// drawJob returns a job of two steps with at most the given number of short tasks.
func drawJob(rng *rand.Rand, tasks int) submissionBody {
	short := func(dependsOn ...int) stepBody {
		return stepBody{
			Count: 1 + rng.IntN(tasks), CPU: int64(1000 * (1 + rng.IntN(3))), MemMb: 256,
			EstimatedMs: int64(300 + rng.IntN(2700)), Checkpointing: rng.IntN(2) == 0, DependsOn: dependsOn,
		}
	}
	return submissionBody{Spec: "b", Steps: []stepBody{short(), short(0)}}
}

// servingJob returns a job of long-running tasks.
func servingJob() submissionBody {
	return submissionBody{Spec: "s", Steps: []stepBody{{
		Count: 6, CPU: 1000, MemMb: 512, EstimatedMs: 1000, LongRunning: true, TargetMs: 200,
	}}}
}

// submitJobs sends jobs of two steps with short tasks. A job without an answer is not sent again. If there are tenants, they
// are drawn from a separate generator.
func (d *deployment) submitJobs(rng *rand.Rand) {
	keys := rand.New(rand.NewPCG(d.platform.cfg.Seed, 31))
	for n, end := 0, time.Now().Add(callTime); time.Now().Before(end); n++ {
		job, key := drawJob(rng, 16), ""
		if d.tenants != nil {
			key = d.tenants.DrawKey(keys)
			d.mu.Lock()
			d.jobs = append(d.jobs, job)
			d.mu.Unlock()
		}
		go sendWithKey(http.MethodPost, d.platform.IngressAddress(), RouteHost, fmt.Sprintf("%s%016x", BatchPrefix, n), key, job)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callInterval))))
	}
}

// replaceLeaders stops and starts the leading host every few seconds.
func (d *deployment) replaceLeaders(rng *rand.Rand) {
	for end := time.Now().Add(faultyTime); ; {
		time.Sleep(2*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))))
		if time.Now().After(end) {
			return
		}
		if leader := d.leader(); leader != nil {
			_ = leader.stop()
			leader.start()
		}
	}
}

// disturb has faults of workers and of the store follow one another for the given time, with one outage of the store at a
// random time. It ends without faults.
func (d *deployment) disturb(rng *rand.Rand, length time.Duration) {
	p := d.platform
	share := func() float64 { return 0.1 + 0.9*rng.Float64() }
	begun := time.Now()
	outageAt := begun.Add(between(rng, length/6, length*7/9))
	var outageEnd time.Time
	for time.Since(begun) < length {
		time.Sleep(between(rng, 100*time.Millisecond, time.Second))
		now := time.Now()
		switch {
		case outageEnd.IsZero() && now.After(outageAt):
			outageEnd = now.Add(between(rng, 3*time.Second, 6*time.Second))
			d.setStoreFaults(Faults{Silent: true})
			// Restarts in an outage don't show in the list of workers.
			if rng.IntN(2) == 0 {
				_, _ = p.BlackholeWorkers(share(), 0, "")
				_, _ = p.ChangeWorkers(ActionRestart, 1+rng.IntN(3), "")
			}
		case !outageEnd.IsZero() && now.After(outageEnd):
			d.setStoreFaults(Faults{})
		}
		// An action on more workers than are ready has no effect.
		switch rng.IntN(12) {
		case 0:
			_, _ = p.BlackholeWorkers(share(), 0, "")
		case 1:
			_, _ = p.BlackholeWorkers(share(), 1+rng.IntN(4), "")
		case 2:
			d.blackholeStore(share())
		case 3:
			_, _ = p.SetWorkerFaults(Faults{Late: 2 * time.Second, Share: share() / 2}, 1+rng.IntN(8), "")
		case 4:
			_, _ = p.SetWorkerFaults(Faults{Lose: true, Share: share()}, 1+rng.IntN(8), "")
		case 5:
			_, _ = p.SetWorkerFaults(Faults{Silent: true}, 1+rng.IntN(2), "")
		case 6:
			_, _ = p.SetWorkerFaults(Faults{}, 0, "")
		case 7:
			_, _ = p.ChangeWorkers(ActionRestart, 1, "")
		case 8:
			// The ends of the connections that were blackholed before don't learn of the restart.
			_, _ = p.BlackholeWorkers(share(), 0, "")
			_, _ = p.ChangeWorkers(ActionRestart, 1+rng.IntN(3), "")
		case 9:
			_, _ = p.ChangeWorkers(ActionReplace, 1+rng.IntN(3), "")
		default:
			n := 1 + rng.IntN(3)
			_, _ = p.ChangeWorkers(ActionAdd, n, "")
			_, _ = p.ChangeWorkers(ActionDrain, n, "")
		}
	}
	d.setStoreFaults(Faults{})
	_, _ = p.SetWorkerFaults(Faults{}, 0, "")
	// Long enough for what was silent to be found out, and for calls that are late.
	time.Sleep(3 * time.Second)
}

// TestLateRenewalAfterRestart guards against a task that runs again because a renewal that was meant for the former boot of
// its worker, and is carried out late by the next one, acknowledges an end that no leader has seen.
func TestLateRenewalAfterRestart(t *testing.T) {
	Convey("Workers that have listed ends restart while all calls are late", t, func() {
		d := startZones(t, []string{"a", "b"}, 1, 3, Departure{})
		submit := func(id string, tasks int, estimate time.Duration) {
			d.call(http.MethodPost, BatchPrefix+id, submissionBody{Spec: "b", Steps: []stepBody{
				{Count: tasks, CPU: 2000, MemMb: 256, EstimatedMs: estimate.Milliseconds()},
			}})
		}
		submit("0000000000000001", 160, 300*time.Millisecond)
		time.Sleep(3 * time.Second)
		submit("0000000000000002", 400, 600*time.Millisecond)
		_, err := d.platform.SetWorkerFaults(Faults{Late: 2 * time.Second}, 0, "")
		So(err, ShouldBeNil)
		_, err = d.platform.ChangeWorkers(ActionRestart, 4, "")
		So(err, ShouldBeNil)
		time.Sleep(1500 * time.Millisecond)
		_, err = d.platform.SetWorkerFaults(Faults{}, 0, "")
		So(err, ShouldBeNil)
		// Ends that are not durable are not acknowledged either, and are listed for longer.
		time.Sleep(400 * time.Millisecond)
		d.platform.SetFaults(Faults{Silent: true})
		time.Sleep(4500 * time.Millisecond)
		d.platform.SetFaults(Faults{})
		time.Sleep(4 * time.Second)
		r := d.platform.Report()
		t.Logf("%d starts, %d tasks done, ends %v", r.Starts, r.Done, r.Ended)
		for _, v := range r.Violations {
			So(v.Rule, ShouldNotEqual, RuleTwice)
		}
		// Else the ends were never acknowledged.
		So(r.Acknowledged, ShouldBeGreaterThan, 0)
	})
}
