package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// scheduler is what the simulation uses of an entry host. Policy, reducedPolicy and baseline implement it.
type scheduler interface {
	Update(now time.Time, msg Msg)
	PlaceTask(now time.Time, c Candidate) (Placement, bool)
	Tick(now time.Time) []Command
	CallScore(worker, class string) float64
}

// deployment is one of the two installations of design section 9. hosts is the number of entry hosts by zone.
type deployment struct {
	name                    string
	workers                 int
	cores, memory           int64
	hosts                   []int
	urgentNames, batchNames []string
}

var ashyq = deployment{
	name: "ashyq", workers: 66, cores: 32000, memory: 125 * 1024, hosts: []int{3, 3, 3},
	urgentNames: []string{"price", "issue", "status"},
	batchNames:  []string{"assess", "watch", "estimate", "survey", "letters", "archive"},
}

var kiskopyora = deployment{
	name: "kiskopyora", workers: 48, cores: 64000, memory: 250 * 1024, hosts: []int{3, 3, 2},
	urgentNames: []string{"profile", "book"},
	batchNames:  []string{"plan", "monitor", "simulate", "fleet", "report", "model"},
}

// simClass is a simulated class of urgent calls or batch tasks.
type simClass struct {
	name string
	// medianTime is the undisturbed median execution time of an urgent class in seconds, target its latency target.
	medianTime, target float64
	// The other fields describe the tasks of a batch class; the true size is declared times useFactor.
	declared  fleet.Size
	useFactor float64
	// medianLength is the median run time in seconds without throttling.
	medianLength float64
	// interferenceFactor multiplies the interference of the batch class with all urgent classes.
	interferenceFactor float64
}

// simTask is a simulated task. Times are in seconds; remaining is the run time left without throttling.
type simTask struct {
	Candidate
	class       int
	attempt     int
	worker      *simWorker
	host        int
	cpuFraction float64
	cores       float64
	memory      float64
	remaining   float64
	planned     fleet.Size
	failsAfter  float64
	started     float64
	created     float64
	stopping    bool
}

// simWorker is a simulated worker. callLoad is the fraction of its slots that urgent calls keep busy; the slices are
// indexed by class and, except slowdown, collect the sums of the present report window.
type simWorker struct {
	name     string
	index    int
	zone     int
	host     int
	rack     string
	capacity fleet.Size
	planned  fleet.Size
	tasks    []*simTask
	failsAll bool
	// trustedStarts counts the tasks started while the worker was not quarantined.
	trustedStarts int
	callLoad      float64
	coreSum       []float64
	memorySum     []float64
	slowdownSum   []float64
	callCount     []float64
	slowdown      []float64
}

// simulation simulates the workers of three zones and the queues of pending tasks in steps of one second.
type simulation struct {
	deployment
	scenario scenario
	mode     string
	// callRand is used for calls only, so that all modes of a seed see the same calls.
	rng, callRand *rand.Rand
	now           float64
	hosts         []scheduler
	zoneOf        []int
	workersByHost [][]*simWorker
	workers       []*simWorker
	urgentClasses []simClass
	batchClasses  []simClass
	// slowdownPerLoad is the true interference by urgent and batch class.
	slowdownPerLoad [][]float64
	// queues holds the pending tasks by zone and batch class.
	queues  [][][]*simTask
	zoneOut []bool
	// callLoad is the fraction of all slots that urgent calls keep busy.
	callLoad float64
	// lastTask is the number of the newest task.
	lastTask       int
	pendingReports []pendingReport
	idleTeams      map[string]bool
	// jobStarts holds the time at which the first task of each job started.
	jobStarts map[string]float64
	// useBeforeOutage is the work of the first zone just before its outage, in cores.
	useBeforeOutage float64
	result          *result
}

// pendingReport is a usage report on its way to a host. Its times are in seconds since the start.
type pendingReport struct {
	deliverAt float64
	host      int
	msg       UsageMsg
	windowEnd float64
}

const (
	// reportWindow is the length of a report window in seconds, reportLag the mean time until a report arrives.
	reportWindow = 10.0
	reportLag    = 10.0
	// callsPerStep is the number of calls sampled per urgent class and second.
	callsPerStep = 80
	// callTimeSigma is the standard deviation of the logarithm of execution times of calls.
	callTimeSigma = 0.5
	// minQueueLength is the least number of pending tasks per zone and batch class.
	minQueueLength = 12
	teamCount      = 4
)

func simTime(sec float64) time.Time { return epoch.Add(time.Duration(sec * float64(time.Second))) }

func newSimulation(d deployment, sc scenario, mode string, seed uint64) *simulation {
	sim := &simulation{
		deployment: d, scenario: sc, mode: mode, callLoad: 0.3, idleTeams: map[string]bool{},
		jobStarts: map[string]float64{}, zoneOut: make([]bool, len(d.hosts)),
		rng: rand.New(rand.NewPCG(seed, 1)), callRand: rand.New(rand.NewPCG(seed, 2)),
	}
	setup := rand.New(rand.NewPCG(seed, 3))
	for i, name := range d.urgentNames {
		base := []float64{0.008, 0.020, 0.012}[i]
		// The target is the undisturbed 99th percentile at the usual load plus a quarter.
		sim.urgentClasses = append(sim.urgentClasses, simClass{
			name: name, medianTime: base, target: 1.25 * base * math.Exp(2.326*callTimeSigma) * (1 + 0.4*0.09),
		})
	}
	sim.slowdownPerLoad = make([][]float64, len(d.urgentNames))
	for i, name := range d.batchNames {
		c := simClass{
			name: name, interferenceFactor: 1, useFactor: 0.6 + 0.7*setup.Float64(), medianLength: 120 + 600*setup.Float64(),
			declared: fleet.Size{Cores: 1000 * (1 + setup.Int64N(4)), Memory: 2048 * (1 + setup.Int64N(6))},
		}
		if sc.wrongSizes {
			c.useFactor = 4
			if i%2 == 0 {
				c.useFactor = 0.25
				c.declared.Cores *= 2
			}
			c.medianLength *= []float64{0.25, 4}[i/2%2]
		}
		if i == 1 {
			c.medianLength = 8 * 3600
		}
		if i == 5 {
			c.declared.Accelerators = 1
		}
		sim.batchClasses = append(sim.batchClasses, c)
		for u := range d.urgentNames {
			k := 0.02 + 0.10*setup.Float64()
			if setup.Float64() < 0.35 {
				k = 0.25 + 0.6*setup.Float64()
			}
			sim.slowdownPerLoad[u] = append(sim.slowdownPerLoad[u], k)
		}
	}
	sim.result = &result{
		refused: map[Reason]int{}, evictions: map[string]int{},
		taskSeconds: make([]float64, len(d.batchNames)), evictionsByClass: make([]int, len(d.batchNames)),
	}
	for range d.urgentNames {
		sim.result.histograms = append(sim.result.histograms, &[3]latencyHistogram{})
	}
	sim.build()
	return sim
}

func (sim *simulation) build() {
	perZone := sim.deployment.workers / len(sim.deployment.hosts)
	for z, n := range sim.deployment.hosts {
		first := len(sim.hosts)
		for range n {
			sim.hosts = append(sim.hosts, nil)
			sim.zoneOf = append(sim.zoneOf, z)
			sim.workersByHost = append(sim.workersByHost, nil)
		}
		sim.queues = append(sim.queues, make([][]*simTask, len(sim.batchClasses)))
		for i := range perZone {
			h := first + i%n
			sw := &simWorker{
				name: fmt.Sprintf("z%dw%d", z, i), index: len(sim.workers), zone: z, host: h,
				capacity: fleet.Size{Cores: sim.cores, Memory: sim.memory},
				coreSum:  make([]float64, len(sim.batchClasses)), memorySum: make([]float64, len(sim.batchClasses)),
				slowdownSum: make([]float64, len(sim.urgentClasses)), callCount: make([]float64, len(sim.urgentClasses)),
				slowdown: make([]float64, len(sim.urgentClasses)),
			}
			if i%4 == 0 {
				sw.capacity.Accelerators = 2
			}
			sim.workers = append(sim.workers, sw)
			sim.workersByHost[h] = append(sim.workersByHost[h], sw)
			sw.rack = fmt.Sprint(z, i/8)
		}
	}
	for h := range sim.hosts {
		sim.startHost(h)
	}
}

// run steps the simulation to the end of the scenario.
func (sim *simulation) run() *result {
	for sim.now < sim.scenario.length {
		sim.scenario.applyDisturbances(sim)
		sim.exchangeEstimates()
		sim.fillQueues()
		if !sim.inPhase(sim.scenario.placementOutage) {
			sim.placeTasks()
		}
		sim.runTasks()
		sim.sendCalls()
		sim.sendReports()
		for h, s := range sim.hosts {
			for _, c := range s.Tick(simTime(sim.now)) {
				sim.applyCommand(h, c)
			}
		}
		sim.recordStep()
		sim.now++
	}
	return sim.result
}

func (sim *simulation) inPhase(p [2]float64) bool { return sim.now >= p[0] && sim.now < p[1] }

// fillQueues keeps at least minQueueLength tasks of every class pending in every zone.
func (sim *simulation) fillQueues() {
	for zone := range sim.queues {
		for c := range sim.batchClasses {
			for len(sim.queues[zone][c]) < minQueueLength {
				t := sim.newTask(c)
				if sim.scenario.idleTeam[1] > 0 && t.Team == "team0" {
					t.Team = "team1"
				}
				sim.queues[zone][c] = append(sim.queues[zone][c], t)
			}
			// In the quota scenario one team keeps far fewer tasks pending than the others.
			if sim.scenario.idleTeam[1] > 0 &&
				!slices.ContainsFunc(sim.queues[zone][c], func(t *simTask) bool { return t.Team == "team0" }) {
				t := sim.newTask(c)
				t.Team = "team0"
				sim.queues[zone][c] = append(sim.queues[zone][c], t)
			}
		}
	}
}

func (sim *simulation) newTask(c int) *simTask {
	cl := &sim.batchClasses[c]
	sim.lastTask++
	t := &simTask{class: c, created: sim.now, remaining: cl.medianLength * math.Exp(0.5*sim.rng.NormFloat64())}
	t.Candidate = Candidate{
		Task: fmt.Sprint("t", sim.lastTask), Job: fmt.Sprint("j", sim.lastTask/4), Class: cl.name,
		Team: fmt.Sprint("team", sim.lastTask%teamCount), Size: cl.declared,
	}
	f := cl.useFactor * (0.9 + 0.2*sim.rng.Float64())
	t.cores, t.memory = float64(cl.declared.Cores)*f, float64(cl.declared.Memory)*f
	if sim.scenario.failingJobs && sim.lastTask%50 == 0 {
		t.Job, t.failsAfter = fmt.Sprint("bad", sim.lastTask/1000), 3+5*sim.rng.Float64()
	}
	if sim.scenario.failingJobs && sim.lastTask%100 == 1 {
		t.Job, t.Size.Cores = "large", 2*sim.cores
	}
	return t
}

// placeTasks offers pending tasks to the hosts of their zone in turn.
func (sim *simulation) placeTasks() {
	for zone := range sim.queues {
		if sim.zoneOut[zone] {
			continue
		}
		for c := range sim.batchClasses {
			q := sim.queues[zone][c]
			kept := q[:0]
			for i, t := range q {
				if i >= 3 && !sim.scenario.failingJobs || sim.idleTeams[t.Team] {
					kept = append(kept, t)
					continue
				}
				if !sim.offerTask(zone, t) {
					kept = append(kept, t)
				}
			}
			if len(kept) > 1 {
				kept = append(kept[1:], kept[0])
			}
			sim.queues[zone][c] = kept
		}
	}
}

// offerTask offers the task to a host and reports whether the task left the queue.
func (sim *simulation) offerTask(z int, t *simTask) bool {
	h := 0
	for i, zone := range sim.zoneOf {
		if zone == z {
			h = i
			break
		}
	}
	h += (t.class + int(sim.now)/2 + sim.lastTask) % sim.deployment.hosts[z]
	pl, ok := sim.hosts[h].PlaceTask(simTime(sim.now), t.Candidate)
	if !ok {
		sim.result.refused[pl.Reason]++
		if pl.Park {
			sim.result.parked++
			from, started := sim.jobStarts[t.Job]
			if !started || pl.Reason == ReasonTooLarge {
				from = t.created
			}
			// A job is known to fail once it has run; its later tasks count from their submission.
			sim.result.maxParkDelay = max(sim.result.maxParkDelay, sim.now-max(from, t.created))
		}
		return pl.Park
	}
	sw := sim.findWorker(h, pl.Worker)
	t.attempt++
	t.worker, t.host, t.cpuFraction, t.started, t.planned, t.stopping = sw, h, 1, sim.now, pl.Size, false
	sw.tasks = append(sw.tasks, t)
	sw.planned = sw.planned.Add(pl.Size)
	if !sw.planned.Fits(sw.capacity) {
		sim.result.overcommitted++
	}
	if p, ok := sim.hosts[h].(*Policy); !ok || !p.IsQuarantined(sw.name) {
		sw.trustedStarts++
	}
	if _, started := sim.jobStarts[t.Job]; !started {
		sim.jobStarts[t.Job] = sim.now
	}
	sim.hosts[h].Update(simTime(sim.now), StartMsg{
		Worker: sw.name, Task: t.Task, Job: t.Job, Class: t.Class, Team: t.Team, Attempt: t.attempt,
		Declared: t.Size, Planned: pl.Size,
	})
	return true
}

func (sim *simulation) findWorker(h int, name string) *simWorker {
	for _, sw := range sim.workersByHost[h] {
		if sw.name == name {
			return sw
		}
	}
	panic("no such worker at the host: " + name)
}

// endTask ends a task attempt and returns a failed or evicted task to a queue.
func (sim *simulation) endTask(t *simTask, o Outcome) {
	sw := t.worker
	sw.tasks = slices.DeleteFunc(sw.tasks, func(x *simTask) bool { return x == t })
	sw.planned = sw.planned.Sub(t.planned)
	sim.hosts[t.host].Update(simTime(sim.now), EndMsg{Worker: sw.name, Task: t.Task, Attempt: t.attempt, Outcome: o})
	if o == OutcomeDone || o == OutcomeFailed {
		for h, z := range sim.zoneOf {
			if z == sw.zone && h != t.host {
				sim.hosts[h].Update(simTime(sim.now), RemoteOutcomeMsg{Worker: sw.name, Job: t.Job, Class: t.Class, Outcome: o})
			}
		}
	}
	switch o {
	case OutcomeDone:
		sim.result.addFinished(sim.now, sim.scenario)
	case OutcomeFailed:
		if !slices.Contains(t.FailedOn, sw.name) {
			t.FailedOn = append(t.FailedOn, sw.name)
		}
		sim.requeue(t)
	case OutcomeEvicted:
		sim.requeue(t)
	}
}

func (sim *simulation) requeue(t *simTask) {
	zone := t.worker.zone
	for sim.zoneOut[zone] {
		zone = (zone + 1) % len(sim.zoneOut)
	}
	t.Attempts = t.attempt
	sim.queues[zone][t.class] = append([]*simTask{t}, sim.queues[zone][t.class]...)
}

func (sim *simulation) evictTask(t *simTask, cause string) {
	sim.result.addEviction(cause, t.class, sim.now >= sim.scenario.warmUp)
	sim.endTask(t, OutcomeEvicted)
}

func (sim *simulation) applyCommand(h int, c Command) {
	sw := sim.findWorker(h, c.Worker)
	for _, t := range sw.tasks {
		if t.Task == c.Task && t.attempt == c.Attempt {
			switch c.Action {
			case fleet.ActionThrottle:
				t.cpuFraction = float64(c.CPUPercent) / 100
				sim.result.throttles++
			case fleet.ActionStop:
				sim.evictTask(t, "stopped")
			}
			return
		}
	}
}

// runTasks runs the tasks for one step. A worker out of memory evicts its newest tasks. Urgent calls use a quarter of
// the cores of a worker with full slots; batch tasks share the rest.
func (sim *simulation) runTasks() {
	for _, sw := range sim.workers {
		var memory, cores float64
		for _, t := range sw.tasks {
			memory += t.memory
			cores += t.cores * t.cpuFraction
		}
		for memory > float64(sw.capacity.Memory) {
			t := sw.tasks[len(sw.tasks)-1]
			memory -= t.memory
			cores -= t.cores * t.cpuFraction
			sim.evictTask(t, "memory")
		}
		urgent := 0.25 * sw.callLoad * float64(sw.capacity.Cores)
		scale := min(1, (float64(sw.capacity.Cores)-urgent)/max(cores, 1))
		for u := range sw.slowdown {
			sw.slowdown[u] = 1 + 0.4*sw.callLoad*sw.callLoad + 5*max(0, sw.callLoad-0.9)
		}
		util := min(1, (cores*scale+urgent)/float64(sw.capacity.Cores))
		for _, t := range slices.Clone(sw.tasks) {
			rate := t.cores * t.cpuFraction * scale
			x := rate / float64(sw.capacity.Cores)
			for u := range sw.slowdown {
				sw.slowdown[u] += sim.slowdownPerLoad[u][t.class] * sim.batchClasses[t.class].interferenceFactor * x *
					(0.6 + 0.8*util)
			}
			sw.coreSum[t.class] += rate
			sw.memorySum[t.class] += t.memory
			sim.result.addWork(sim.now, rate/1000)
			sim.result.taskSeconds[t.class]++
			t.remaining -= t.cpuFraction * scale
			switch age := sim.now - t.started; {
			case sw.failsAll && age >= 2, t.failsAfter > 0 && age >= t.failsAfter:
				sim.endTask(t, OutcomeFailed)
			case t.remaining <= 0:
				sim.endTask(t, OutcomeDone)
			}
		}
	}
}
