package job

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// The durations of the model, in seconds. All clocks run at the same rate; the lease package tests clocks that do not.
const (
	workerLeaseTTL = 6
	taskLeaseTTL   = 30
	// seedCount and lateHoldSeed choose the histories. A seed below seedCount fails if mayEvict no longer requires the
	// newest hold for one of its reasons, or the same grant. lateHoldSeed fails without the rule of Hold.NextOffset.
	seedCount    = 100
	lateHoldSeed = 265
)

// modelWorker is a worker that grants leases, refuses old grants and boots, and stops its tasks when their lease ends.
type modelWorker struct {
	id, holder             string
	boot                   int
	grant                  uint64
	leaseEnd, taskLeaseEnd int
	// running holds the attempt of each running task.
	running map[string]int
}

// bootID returns the ID of the present boot of the worker.
func (w *modelWorker) bootID() string { return fmt.Sprint(w.id, "#", w.boot) }

// leaseReply is the reply of a worker to a lease request.
type leaseReply struct {
	boot                 string
	grant                uint64
	isHolder, renewed    bool
	answeredAt, leaseEnd int
	running              map[string]int
}

// modelView is what a host knows of a worker, as the lease package keeps it.
type modelView struct {
	// leaseReply is the newest reply, which arrived at receivedAt. taskLeaseBound is when the task leases of the worker
	// have expired at the latest. ready is set once they were renewed under the present lease.
	leaseReply
	receivedAt, taskLeaseBound, holdWrittenAt int
	ready                                     bool
	// nextOffset is one more than the offset of the newest hold that the host had read when it requested the newest reply
	// that names it the holder.
	nextOffset uint64
	// applied is the last reply that was used.
	applied leaseReply
}

// modelHost is a host that replays the log, holds workers and starts and evicts tasks.
type modelHost struct {
	id    string
	table *Table
	// recordsRead is the number of records of the log that were applied.
	recordsRead, pausedUntil int
	// lastLogArrival is when the last record of the host reaches the log. A host has one batch in flight at a time.
	lastLogArrival int
	views          map[string]*modelView
	// startDeadline holds, by task and attempt, until when a start that was sent may reach its worker.
	startDeadline map[string]int
	// evictedAt is when this host last wrote an Evict, by task.
	evictedAt map[string]int
}

// attemptKey returns the key of an attempt of a task in modelHost.startDeadline.
func attemptKey(task string, n int) string { return fmt.Sprint(task, "@", n) }

// holdRecorded reports whether the newest hold of a worker is the one of this host's present lease.
func (h *modelHost) holdRecorded(w string) bool {
	v, hold := h.views[w], h.table.holds[w]
	return v.isHolder && hold.Host == h.id && hold.Boot == v.boot && hold.Grant == v.grant
}

// holdsLease reports whether the host holds the lease of a worker.
func (h *modelHost) holdsLease(w string, now int) bool {
	return h.views[w].isHolder && now < h.views[w].leaseEnd
}

// modelZone simulates the hosts, workers and log of a zone in steps of one second.
type modelZone struct {
	*testing.T
	seed      uint64
	rng       *rand.Rand
	now       int
	workers   map[string]*modelWorker
	workerIDs []string
	hosts     []*modelHost
	log       []record.Item
	// reference applies the log without delay.
	reference *Table
	// events holds what is due, by time. cutUntil holds, by host and worker, until when their messages are lost.
	events   map[int][]func()
	cutUntil map[string]int
	// reasons counts the evicts that were valid.
	reasons map[EvictReason]int
}

// after runs f in d seconds.
func (z *modelZone) after(d int, f func()) {
	if d == 0 {
		f()
		return
	}
	z.events[z.now+d] = append(z.events[z.now+d], f)
}

// delay returns a delay in seconds, usually 0 or 1 and sometimes any that is less than longest.
func (z *modelZone) delay(longest int) int {
	if z.rng.IntN(12) == 0 {
		return z.rng.IntN(longest)
	}
	return z.rng.IntN(2)
}

// write appends a record to the log after a delay, in the order in which the host writes.
func (z *modelZone) write(h *modelHost, item record.Item) {
	h.lastLogArrival = max(h.lastLogArrival, z.now+z.delay(40))
	z.after(h.lastLogArrival-z.now, func() {
		z.log = append(z.log, item)
		if z.reference.Apply(epoch, uint64(len(z.log)), item) == nil && item.Kind == KindEvict {
			e, _ := record.DecodeItem[Evict](item)
			z.reasons[e.Reason]++
		}
	})
}

// evict writes an Evict, at most once in 4 s for a task.
func (z *modelZone) evict(h *modelHost, t *Task, reason EvictReason, reply leaseReply) {
	if at, ok := h.evictedAt[t.ID()]; ok && z.now-at < 4 {
		return
	}
	h.evictedAt[t.ID()] = z.now
	e := Evict{Task: t.ID(), Attempt: t.Attempt(), Reason: reason, Host: h.id, Boot: reply.boot, Grant: reply.grant}
	z.write(h, must(EvictItem(e)))
}

// sendLeaseRequest sends a lease request. It renews the task leases only once the hold was read back.
func (z *modelZone) sendLeaseRequest(h *modelHost, id string) {
	v, w, sentAt, taskLeaseEnd := h.views[id], z.workers[id], z.now, 0
	if h.holdRecorded(id) {
		taskLeaseEnd = v.answeredAt + taskLeaseTTL
		v.taskLeaseBound = max(v.taskLeaseBound, taskLeaseEnd)
	}
	boot, nextOffset := v.boot, h.table.holds[id].Offset+1
	messageLost := func() bool { return z.now < z.cutUntil[h.id+id] || z.rng.IntN(15) == 0 }
	if messageLost() {
		return
	}
	z.after(z.delay(5), func() {
		r := leaseReply{boot: w.bootID(), answeredAt: z.now}
		if boot == r.boot && (w.holder == h.id || z.now >= w.leaseEnd) {
			if w.holder != h.id {
				w.holder, w.leaseEnd = h.id, 0
				w.grant++
			}
			w.leaseEnd, w.taskLeaseEnd = max(w.leaseEnd, sentAt+workerLeaseTTL), max(w.taskLeaseEnd, taskLeaseEnd)
			r.isHolder, r.renewed = true, taskLeaseEnd > 0
		}
		r.grant, r.leaseEnd, r.running = w.grant, w.leaseEnd, maps.Clone(w.running)
		if !messageLost() {
			z.after(z.delay(5), func() { z.receive(h, id, r, sentAt, nextOffset) })
		}
	})
}

// receive updates the view of a worker from its reply to a lease request, unless the host knows a newer one.
func (z *modelZone) receive(h *modelHost, id string, r leaseReply, sentAt int, nextOffset uint64) {
	v := h.views[id]
	switch {
	case z.now < h.pausedUntil:
		z.after(h.pausedUntil-z.now, func() { z.receive(h, id, r, sentAt, nextOffset) })
		return
	case r.boot == v.boot && r.answeredAt < v.answeredAt, r.boot != v.boot && sentAt < v.receivedAt:
		return
	}
	if !r.isHolder || !v.isHolder || r.boot != v.boot || r.grant != v.grant {
		v.ready = false
		v.taskLeaseBound = max(v.taskLeaseBound, r.answeredAt+taskLeaseTTL)
	}
	v.leaseReply, v.receivedAt = r, z.now
	v.ready = v.ready || r.renewed
	if r.isHolder {
		v.nextOffset = nextOffset
		// The process may be paused between receiving a reply and using it, and then reads the log first.
		if z.rng.IntN(20) == 0 {
			h.pausedUntil = z.now + z.rng.IntN(40)
		}
		z.after(1, func() { z.reconcile(h, id, r) })
	}
}

// reconcile evicts the tasks that a reply shows not to be running, as the node package does.
func (z *modelZone) reconcile(h *modelHost, id string, r leaseReply) {
	if z.now <= h.pausedUntil {
		z.after(h.pausedUntil+1-z.now, func() { z.reconcile(h, id, r) })
		return
	}
	v := h.views[id]
	if r.boot == v.applied.boot && r.answeredAt < v.applied.answeredAt {
		return
	}
	v.applied = r
	for _, t := range h.table.RunningOn(id) {
		deadline, wasSent := h.startDeadline[attemptKey(t.ID(), t.Attempt())]
		switch {
		case r.running[t.ID()] == t.Attempt():
		case r.boot != t.Boot():
			z.evict(h, t, ReasonRestarted, r)
		case !wasSent && t.Host() != h.id, wasSent && r.answeredAt > deadline:
			z.evict(h, t, ReasonRefused, r)
		}
	}
}

// apply applies the next record of the log. A Start of this host is sent to the worker once it was read back.
func (z *modelZone) apply(h *modelHost) {
	item := z.log[h.recordsRead]
	h.recordsRead++
	if h.table.Apply(epoch, uint64(h.recordsRead), item) != nil || item.Kind != KindStart {
		return
	}
	s, _ := record.DecodeItem[Start](item)
	if s.Host != h.id {
		return
	}
	v := h.views[s.Worker]
	if !h.holdsLease(s.Worker, z.now) || !h.holdRecorded(s.Worker) || !v.ready || v.boot != s.Boot {
		z.write(h, must(EvictItem(Evict{Task: s.Task, Attempt: s.Attempt, Reason: ReasonRefused, Host: h.id})))
		return
	}
	deadline, grant, w := z.now+1, v.grant, z.workers[s.Worker]
	h.startDeadline[attemptKey(s.Task, s.Attempt)] = deadline
	z.after(z.delay(5), func() {
		if w.bootID() == s.Boot && w.grant == grant && z.now <= deadline && w.taskLeaseEnd > z.now &&
			z.now >= z.cutUntil[h.id+w.id] {
			w.running[s.Task] = s.Attempt
		}
	})
}

// runHost renews or releases the lease of a worker, writes the hold, and starts or evicts tasks.
func (z *modelZone) runHost(h *modelHost, id string) {
	v := h.views[id]
	switch {
	case v.isHolder && z.rng.IntN(150) == 0:
		w := z.workers[id]
		v.isHolder = false
		if w.holder == h.id {
			w.leaseEnd = 0
		}
	case v.isHolder && z.now%2 == 0, z.rng.IntN(5) == 0:
		z.sendLeaseRequest(h, id)
	}
	if h.holdsLease(id, z.now) && !h.holdRecorded(id) && z.now-v.holdWrittenAt >= 2 {
		v.holdWrittenAt = z.now
		z.write(h, must(HoldItem(Hold{Worker: id, Host: h.id, Boot: v.boot, Grant: v.grant, NextOffset: v.nextOffset})))
	}
	if !h.holdsLease(id, z.now) {
		if h.holdRecorded(id) && z.now > v.taskLeaseBound {
			for _, t := range h.table.RunningOn(id) {
				z.evict(h, t, ReasonLeaseExpired, leaseReply{})
			}
		}
		return
	}
	if !h.holdRecorded(id) || !v.ready || z.rng.IntN(6) > 0 {
		return
	}
	for t := range h.table.Pending("cut") {
		z.write(h, must(StartItem(Start{Task: t.ID(), Attempt: t.Attempt() + 1, Worker: id, Boot: v.boot, Host: h.id})))
		break
	}
}

// advance advances the time by one second, then restarts, pauses and cuts off parts of the zone at random and runs what
// is due.
func (z *modelZone) advance() {
	z.now++
	for _, id := range z.workerIDs {
		w := z.workers[id]
		if w.taskLeaseEnd <= z.now {
			clear(w.running)
		}
		if z.rng.IntN(70) == 0 {
			*w = modelWorker{id: id, boot: w.boot + 1, running: map[string]int{}}
		}
	}
	for _, f := range z.events[z.now] {
		f()
	}
	delete(z.events, z.now)
	for _, h := range z.hosts {
		if z.rng.IntN(60) == 0 {
			h.pausedUntil = z.now + z.rng.IntN(20)
		}
		if z.rng.IntN(40) == 0 {
			z.cutUntil[h.id+z.workerIDs[z.rng.IntN(len(z.workerIDs))]] = z.now + z.rng.IntN(60)
		}
		if z.now < h.pausedUntil {
			continue
		}
		for h.recordsRead < len(z.log) && z.rng.IntN(3) > 0 {
			z.apply(h)
		}
		for _, id := range z.workerIDs {
			z.runHost(h, id)
		}
	}
}

// checkRunningTasks fails the test if a task runs on two workers, or runs although it does not by the log.
func (z *modelZone) checkRunningTasks() {
	workerOf := map[string]string{}
	for _, id := range z.workerIDs {
		w := z.workers[id]
		for _, task := range slices.Sorted(maps.Keys(w.running)) {
			if w.taskLeaseEnd <= z.now {
				continue
			}
			if workerOf[task] != "" {
				z.Fatalf("seed %d: task %s runs on both %s and %s", z.seed, task[36:], workerOf[task], id)
			}
			workerOf[task] = id
			if t := z.reference.Task(task); t.State() != Running || t.Attempt() != w.running[task] {
				z.Fatalf("seed %d: attempt %d of %s runs on %s, but by the log attempt %d is %v", z.seed,
					w.running[task], task[36:], id, t.Attempt(), t.State())
			}
		}
	}
}

// TestOneRunPerTask guards against a task that runs twice, or is evicted while it runs, when workers change their
// holder and restart, hosts are paused, cut off or behind the log, and records take effect late.
func TestOneRunPerTask(t *testing.T) {
	t.Parallel()
	reasons := map[EvictReason]int{}
	for i := range uint64(seedCount + 1) {
		seed := i
		if i == seedCount {
			seed = lateHoldSeed
		}
		z := &modelZone{
			T: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), reference: New(), cutUntil: map[string]int{},
			workers: map[string]*modelWorker{}, events: map[int][]func(){}, reasons: reasons, workerIDs: []string{"w1", "w2"},
		}
		for _, id := range z.workerIDs {
			z.workers[id] = &modelWorker{id: id, running: map[string]int{}}
		}
		for n := range 3 {
			h := &modelHost{id: fmt.Sprint("h", n), table: New(), views: map[string]*modelView{}}
			h.startDeadline, h.evictedAt = map[string]int{}, map[string]int{}
			for _, id := range z.workerIDs {
				h.views[id] = &modelView{}
			}
			z.hosts = append(z.hosts, h)
		}
		z.write(z.hosts[0], must(AcceptItem(newAccept(jobID(epoch, 1), 3))))
		for range 300 {
			z.advance()
			z.checkRunningTasks()
		}
	}
	if reasons[ReasonLeaseExpired] == 0 || reasons[ReasonRestarted] == 0 || reasons[ReasonRefused] == 0 {
		t.Fatalf("a reason had no valid evict, so its rule was not tested: %v", reasons)
	}
	t.Logf("valid evicts: %v", reasons)
}
