package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// decider is what the fake asks of an entry host; Policy and the baselines implement it.
type decider interface {
	Update(now time.Time, msg Msg)
	PlaceTask(now time.Time, c Candidate) (Placement, bool)
	Tick(now time.Time) []Command
	CallScore(worker, class string) float64
}

// deployment is one of the two installations of design section 9.
type deployment struct {
	name            string
	workers         int
	cores, memory   int64
	hosts           []int
	urgent, batches []string
}

var ashyq = deployment{
	name: "ashyq", workers: 66, cores: 32000, memory: 125 * 1024, hosts: []int{3, 3, 3},
	urgent:  []string{"price", "issue", "status"},
	batches: []string{"assess", "watch", "estimate", "survey", "letters", "archive"},
}

var kiskopyora = deployment{
	name: "kiskopyora", workers: 48, cores: 64000, memory: 250 * 1024, hosts: []int{3, 3, 2},
	urgent:  []string{"profile", "book"},
	batches: []string{"plan", "monitor", "simulate", "fleet", "report", "model"},
}

type fakeClass struct {
	name string
	// base and late are the undisturbed median time and target of an urgent class.
	base, target float64
	// declared, factor and length describe the tasks of a batch class: true size is declared times factor.
	declared fleet.Size
	factor   float64
	length   float64
	noise    float64
}

type fakeTask struct {
	Candidate
	class    int
	attempt  int
	worker   *fakeWorker
	host     int
	share    float64
	cores    float64
	memory   float64
	left     float64
	planned  fleet.Size
	fails    float64
	started  float64
	born     float64
	stopping bool
}

type fakeWorker struct {
	name     string
	index    int
	zone     int
	host     int
	rack     string
	capacity fleet.Size
	planned  fleet.Size
	tasks    []*fakeTask
	bad      bool
	starts   int
	calls    float64
	used     []float64
	memory   []float64
	slow     []float64
	count    []float64
	slowdown []float64
}

// world is a time-stepped fake of the workers of three zones and of the queues of the runtime.
type world struct {
	deployment
	sc       scenario
	mode     string
	rng, crn *rand.Rand
	now      float64
	hosts    []decider
	zoneOf   []int
	byHost   [][]*fakeWorker
	workers  []*fakeWorker
	urgents  []fakeClass
	classes  []fakeClass
	k        [][]float64
	queues   [][][]*fakeTask
	out      []bool
	load     float64
	serial   int
	pending  []pendingReport
	idle     map[string]bool
	first    map[string]float64
	before   float64
	res      *result
}

type pendingReport struct {
	at   float64
	host int
	msg  UsageMsg
	end  float64
}

const (
	reportWindow = 10.0
	reportLag    = 10.0
	callsPerStep = 80
	sigma        = 0.5
	queueDepth   = 12
	teamCount    = 4
)

func at(sec float64) time.Time { return epoch.Add(time.Duration(sec * float64(time.Second))) }

func newWorld(d deployment, sc scenario, mode string, seed uint64) *world {
	w := &world{
		deployment: d, sc: sc, mode: mode, load: 0.3, idle: map[string]bool{}, first: map[string]float64{}, out: make([]bool, len(d.hosts)),
		rng: rand.New(rand.NewPCG(seed, 1)), crn: rand.New(rand.NewPCG(seed, 2)),
	}
	setup := rand.New(rand.NewPCG(seed, 3))
	for i, name := range d.urgent {
		base := []float64{0.008, 0.020, 0.012}[i]
		// The target is the undisturbed 99th percentile at the usual load plus a quarter.
		w.urgents = append(w.urgents, fakeClass{name: name, base: base, target: 1.25 * base * math.Exp(2.326*sigma) * (1 + 0.4*0.09)})
	}
	w.k = make([][]float64, len(d.urgent))
	for i, name := range d.batches {
		c := fakeClass{
			name: name, noise: 1, factor: 0.6 + 0.7*setup.Float64(), length: 120 + 600*setup.Float64(),
			declared: fleet.Size{Cores: 1000 * (1 + setup.Int64N(4)), Memory: 2048 * (1 + setup.Int64N(6))},
		}
		if sc.wrong {
			c.factor = 4
			if i%2 == 0 {
				c.factor = 0.25
				c.declared.Cores *= 2
			}
			c.length *= []float64{0.25, 4}[i/2%2]
		}
		if i == 1 {
			c.length = 8 * 3600
		}
		if i == 5 {
			c.declared.Accelerators = 1
		}
		w.classes = append(w.classes, c)
		for u := range d.urgent {
			k := 0.02 + 0.10*setup.Float64()
			if setup.Float64() < 0.35 {
				k = 0.25 + 0.6*setup.Float64()
			}
			w.k[u] = append(w.k[u], k)
		}
	}
	w.res = &result{
		refused: map[Reason]int{}, evictions: map[string]int{},
		taskSeconds: make([]float64, len(d.batches)), evictedOf: make([]int, len(d.batches)),
	}
	for range d.urgent {
		w.res.hists = append(w.res.hists, &[3]hist{})
	}
	w.build()
	return w
}

func (w *world) build() {
	perZone := w.deployment.workers / len(w.deployment.hosts)
	for z, n := range w.deployment.hosts {
		first := len(w.hosts)
		for range n {
			w.hosts = append(w.hosts, nil)
			w.zoneOf = append(w.zoneOf, z)
			w.byHost = append(w.byHost, nil)
		}
		w.queues = append(w.queues, make([][]*fakeTask, len(w.classes)))
		for i := range perZone {
			h := first + i%n
			fw := &fakeWorker{
				name: fmt.Sprintf("z%dw%d", z, i), index: len(w.workers), zone: z, host: h,
				capacity: fleet.Size{Cores: w.cores, Memory: w.memory},
				used:     make([]float64, len(w.classes)), memory: make([]float64, len(w.classes)),
				slow: make([]float64, len(w.urgents)), count: make([]float64, len(w.urgents)),
				slowdown: make([]float64, len(w.urgents)),
			}
			if i%4 == 0 {
				fw.capacity.Accelerators = 2
			}
			w.workers = append(w.workers, fw)
			w.byHost[h] = append(w.byHost[h], fw)
			fw.rack = fmt.Sprint(z, i/8)
		}
	}
	for h := range w.hosts {
		w.startHost(h)
	}
}

// run steps the world to the end of the scenario.
func (w *world) run() *result {
	for w.now < w.sc.length {
		w.sc.apply(w)
		w.exchange()
		w.arrive()
		if !w.within(w.sc.outage) {
			w.place()
		}
		w.progress()
		w.call()
		w.report()
		for h, d := range w.hosts {
			for _, c := range d.Tick(at(w.now)) {
				w.command(h, c)
			}
		}
		w.observe()
		w.now++
	}
	return w.res
}

func (w *world) within(p [2]float64) bool { return w.now >= p[0] && w.now < p[1] }

// arrive keeps a bounded backlog of every class in every zone.
func (w *world) arrive() {
	for z := range w.queues {
		for c := range w.classes {
			for len(w.queues[z][c]) < queueDepth {
				t := w.task(c)
				if w.sc.idle[1] > 0 && t.Team == "team0" {
					t.Team = "team1"
				}
				w.queues[z][c] = append(w.queues[z][c], t)
			}
			// In the quota case one team keeps far fewer tasks pending than the others.
			if w.sc.idle[1] > 0 && !slices.ContainsFunc(w.queues[z][c], func(t *fakeTask) bool { return t.Team == "team0" }) {
				t := w.task(c)
				t.Team = "team0"
				w.queues[z][c] = append(w.queues[z][c], t)
			}
		}
	}
}

func (w *world) task(c int) *fakeTask {
	cl := &w.classes[c]
	w.serial++
	t := &fakeTask{class: c, born: w.now, left: cl.length * math.Exp(0.5*w.rng.NormFloat64())}
	t.Candidate = Candidate{
		Task: fmt.Sprint("t", w.serial), Job: fmt.Sprint("j", w.serial/4), Class: cl.name,
		Team: fmt.Sprint("team", w.serial%teamCount), Size: cl.declared,
	}
	f := cl.factor * (0.9 + 0.2*w.rng.Float64())
	t.cores, t.memory = float64(cl.declared.Cores)*f, float64(cl.declared.Memory)*f
	if w.sc.badJobs && w.serial%50 == 0 {
		t.Job, t.fails = fmt.Sprint("bad", w.serial/1000), 3+5*w.rng.Float64()
	}
	if w.sc.badJobs && w.serial%100 == 1 {
		t.Job, t.Size.Cores = "large", 2*w.cores
	}
	return t
}

// place offers pending tasks to the hosts of their zone in turn.
func (w *world) place() {
	for z := range w.queues {
		if w.out[z] {
			continue
		}
		for c := range w.classes {
			q := w.queues[z][c]
			kept := q[:0]
			for i, t := range q {
				if i >= 3 && !w.sc.badJobs || w.idle[t.Team] {
					kept = append(kept, t)
					continue
				}
				if !w.offer(z, t) {
					kept = append(kept, t)
				}
			}
			if len(kept) > 1 {
				kept = append(kept[1:], kept[0])
			}
			w.queues[z][c] = kept
		}
	}
}

// offer reports whether the task left the queue.
func (w *world) offer(z int, t *fakeTask) bool {
	h := 0
	for i, zone := range w.zoneOf {
		if zone == z {
			h = i
			break
		}
	}
	h += (t.class + int(w.now)/2 + w.serial) % w.deployment.hosts[z]
	pl, ok := w.hosts[h].PlaceTask(at(w.now), t.Candidate)
	if !ok {
		w.res.refused[pl.Reason]++
		if pl.Park {
			w.res.parked++
			from, started := w.first[t.Job]
			if !started || pl.Reason == ReasonTooLarge {
				from = t.born
			}
			// A job is known to fail once it has run; its later tasks count from their submission.
			w.res.parkDelay = max(w.res.parkDelay, w.now-max(from, t.born))
		}
		return pl.Park
	}
	fw := w.worker(h, pl.Worker)
	t.attempt++
	t.worker, t.host, t.share, t.started, t.planned, t.stopping = fw, h, 1, w.now, pl.Size, false
	fw.tasks = append(fw.tasks, t)
	fw.planned = fw.planned.Add(pl.Size)
	if !fw.planned.Fits(fw.capacity) {
		w.res.overcommit++
	}
	if p, ok := w.hosts[h].(*Policy); !ok || !p.Quarantined(fw.name) {
		fw.starts++
	}
	if _, started := w.first[t.Job]; !started {
		w.first[t.Job] = w.now
	}
	w.hosts[h].Update(at(w.now), StartMsg{
		Worker: fw.name, Task: t.Task, Job: t.Job, Class: t.Class, Team: t.Team, Attempt: t.attempt,
		Declared: t.Size, Planned: pl.Size,
	})
	return true
}

func (w *world) worker(h int, name string) *fakeWorker {
	for _, fw := range w.byHost[h] {
		if fw.name == name {
			return fw
		}
	}
	panic("no such worker at the host: " + name)
}

// finish ends a task attempt.
func (w *world) finish(t *fakeTask, o Outcome) {
	fw := t.worker
	fw.tasks = slices.DeleteFunc(fw.tasks, func(x *fakeTask) bool { return x == t })
	fw.planned = fw.planned.Sub(t.planned)
	w.hosts[t.host].Update(at(w.now), EndMsg{Worker: fw.name, Task: t.Task, Attempt: t.attempt, Outcome: o})
	if o == OutcomeDone || o == OutcomeFailed {
		for h, z := range w.zoneOf {
			if z == fw.zone && h != t.host {
				w.hosts[h].Update(at(w.now), ElsewhereMsg{Worker: fw.name, Job: t.Job, Class: t.Class, Outcome: o})
			}
		}
	}
	switch o {
	case OutcomeDone:
		w.res.finish(w.now, w.sc)
	case OutcomeFailed:
		if !slices.Contains(t.Avoid, fw.name) {
			t.Avoid = append(t.Avoid, fw.name)
		}
		w.requeue(t)
	case OutcomeEvicted:
		w.requeue(t)
	}
}

func (w *world) requeue(t *fakeTask) {
	z := t.worker.zone
	for w.out[z] {
		z = (z + 1) % len(w.out)
	}
	t.Attempts = t.attempt
	w.queues[z][t.class] = append([]*fakeTask{t}, w.queues[z][t.class]...)
}

func (w *world) evict(t *fakeTask, cause string) {
	w.res.evict(cause, t.class, w.now >= w.sc.warm)
	w.finish(t, OutcomeEvicted)
}

func (w *world) command(h int, c Command) {
	fw := w.worker(h, c.Worker)
	for _, t := range fw.tasks {
		if t.Task == c.Task && t.attempt == c.Attempt {
			switch c.Action {
			case fleet.ActionThrottle:
				t.share = float64(c.Share) / 100
				w.res.throttles++
			case fleet.ActionStop:
				w.evict(t, "stopped")
			}
			return
		}
	}
}

// progress runs the tasks for one step; a worker out of memory kills its newest tasks.
func (w *world) progress() {
	for _, fw := range w.workers {
		var memory, cores float64
		for _, t := range fw.tasks {
			memory += t.memory
			cores += t.cores * t.share
		}
		for memory > float64(fw.capacity.Memory) {
			t := fw.tasks[len(fw.tasks)-1]
			memory -= t.memory
			cores -= t.cores * t.share
			w.evict(t, "memory")
		}
		urgent := 0.25 * fw.calls * float64(fw.capacity.Cores)
		scale := min(1, (float64(fw.capacity.Cores)-urgent)/max(cores, 1))
		for u := range fw.slowdown {
			fw.slowdown[u] = 1 + 0.4*fw.calls*fw.calls + 5*max(0, fw.calls-0.9)
		}
		util := min(1, (cores*scale+urgent)/float64(fw.capacity.Cores))
		for _, t := range slices.Clone(fw.tasks) {
			rate := t.cores * t.share * scale
			x := rate / float64(fw.capacity.Cores)
			for u := range fw.slowdown {
				fw.slowdown[u] += w.k[u][t.class] * w.classes[t.class].noise * x * (0.6 + 0.8*util)
			}
			fw.used[t.class] += rate
			fw.memory[t.class] += t.memory
			w.res.work(w.now, rate/1000)
			w.res.taskSeconds[t.class]++
			t.left -= t.share * scale
			switch age := w.now - t.started; {
			case fw.bad && age >= 2, t.fails > 0 && age >= t.fails:
				w.finish(t, OutcomeFailed)
			case t.left <= 0:
				w.finish(t, OutcomeDone)
			}
		}
	}
}
