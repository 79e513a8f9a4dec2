package lease

import (
	"math"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// withoutTasksChange is the change number that marks a status without tasks in the simulation.
const withoutTasksChange = math.MaxUint64

// refusalStatus returns the status of a refusal, in half of the cases with the worker's name only.
func (sim *simulation) refusalStatus(s fleet.Status) fleet.Status {
	if sim.rng.IntN(2) == 0 {
		return fleet.Status{Worker: s.Worker}
	}
	return s
}

// TestQueryAfterRefusal guards against repeating a refused lease request for as long as the other host lives, and
// against taking a status without tasks for an empty task list.
func TestQueryAfterRefusal(t *testing.T) {
	h := New("h0")
	h.Update(epoch, WorkersMsg{Workers: []Worker{{ID: "w"}}})
	h.Update(epoch, PeersMsg{Hosts: []string{"h0"}})
	free := fleet.Status{Worker: "w", Boot: "b", Clock: time.Hour}
	h.Update(epoch, StatusMsg{Status: free, Sent: epoch, Received: epoch, WithoutTasks: true})
	now := epoch.Add(time.Second)
	if _, ok := h.Update(now, TickMsg{})[0].(LeaseCmd); !ok {
		t.Fatal("no lease is requested of a free worker")
	}
	h.Update(now, RefusedMsg{Status: fleet.Status{Worker: "w"}, Sent: now, Received: now})
	now = now.Add(2 * time.Second)
	if _, ok := h.Update(now, TickMsg{})[0].(StatusCmd); !ok {
		t.Fatal("the holder is not queried after a refusal")
	}
	own := fleet.Status{
		Worker: "w", Boot: "b", Clock: time.Hour + 3*time.Second, Grant: 1, Holder: "h0", Until: 2 * time.Hour,
	}
	if cmds := h.Update(now, StatusMsg{Status: own, Sent: now, Received: now, WithoutTasks: true}); len(cmds) > 0 {
		t.Fatalf("a status without tasks is passed on: %+v", cmds)
	}
	c, ok := h.Update(now.Add(time.Second), TickMsg{})[0].(LeaseCmd)
	if !ok || c.Request.Seen != 0 {
		t.Fatalf("got %+v, want a lease request that asks for the full list", c)
	}
}

// TestLateReplyIsIgnored guards against a reply that arrives after a newer one and restores an old grant, an old clock
// or an old list of tasks.
func TestLateReplyIsIgnored(t *testing.T) {
	h := New("h0")
	h.Update(epoch, WorkersMsg{Workers: []Worker{{ID: "w"}}})
	status := func(clock time.Duration, grant uint64) fleet.Status {
		return fleet.Status{Worker: "w", Boot: "b", Clock: clock, Grant: grant, Holder: "h0", Until: clock + 6*time.Second}
	}
	reply := func(now time.Time, s fleet.Status) int {
		return len(h.Update(now, StatusMsg{Status: s, Sent: now.Add(-time.Second), Received: now}))
	}
	reply(epoch.Add(time.Second), fleet.Status{Worker: "w", Boot: "b", Clock: time.Second})
	reply(epoch.Add(time.Second), status(20*time.Second, 3))
	want, ok := h.Fence("w", epoch.Add(2*time.Second))
	if !ok || want.Grant != 3 {
		t.Fatalf("the worker is not held under grant 3: fence %+v", want)
	}
	if n := reply(epoch.Add(2*time.Second), status(10*time.Second, 1)); n > 0 {
		t.Errorf("a late reply led to %d commands", n)
	}
	if got, ok := h.Fence("w", epoch.Add(2*time.Second)); !ok || got != want {
		t.Errorf("after the late reply the fence is %+v, want %+v", got, want)
	}
}

// TestLateReplyOfEarlierBoot guards against taking a late reply of an earlier boot for a new restart.
func TestLateReplyOfEarlierBoot(t *testing.T) {
	h := New("h0")
	h.Update(epoch, WorkersMsg{Workers: []Worker{{ID: "w"}}})
	reply := func(boot string, clock, sent, received time.Duration) int {
		s := fleet.Status{Worker: "w", Boot: boot, Clock: clock, Grant: 1, Holder: "h0", Until: clock + 6*time.Second}
		return len(h.Update(epoch.Add(received), StatusMsg{Status: s, Sent: epoch.Add(sent), Received: epoch.Add(received)}))
	}
	h.Update(epoch, StatusMsg{Status: fleet.Status{Worker: "w", Boot: "b"}, Sent: epoch, Received: epoch})
	reply("b", time.Hour, 0, 1)
	reply("c", time.Second, 3, 4)
	if n := reply("b", time.Hour+1, 2, 5); n > 0 {
		t.Errorf("a late reply of the earlier boot led to %d commands", n)
	}
	if f, ok := h.Fence("w", epoch.Add(6)); !ok || f.Boot != "c" {
		t.Errorf("after a late reply of the earlier boot the fence is %+v, want one of boot c", f)
	}
}

// TestAcceptsWorkAndBatch guards against new work for a worker that is leaving by the host list or its own status, and
// against batch tasks for a worker whose task leases this host does not renew yet: after a change of holder they would
// be stopped 30 s later.
func TestAcceptsWorkAndBatch(t *testing.T) {
	h := New("h0")
	now := epoch
	list := func(leaving bool) { h.Update(now, WorkersMsg{Workers: []Worker{{ID: "w", Leaving: leaving}}}) }
	applyStatus := func(leaving bool) {
		now = now.Add(time.Second)
		s := fleet.Status{
			Worker: "w", Boot: "b", Clock: time.Hour + now.Sub(epoch), Grant: 1, Holder: "h0", Until: 2 * time.Hour,
			Leaving: leaving,
		}
		h.Update(now, StatusMsg{Status: s, Sent: now, Received: now})
	}
	want := func(step string, acceptsWork, acceptsBatch bool) {
		if work, batch := h.AcceptsWork("w", now), h.AcceptsBatch("w", now); work != acceptsWork || batch != acceptsBatch {
			t.Errorf("%s: accepts work %v and batch tasks %v, want %v and %v", step, work, batch, acceptsWork, acceptsBatch)
		}
	}
	list(false)
	h.Update(now, PeersMsg{Hosts: []string{"h0"}})
	applyStatus(false)
	want("taken", true, false)
	h.Update(now, HoldMsg{Worker: "w", Host: "h0", Boot: "b", Grant: 1, Offset: 1})
	want("hold read back", true, false)
	now = now.Add(3 * time.Second)
	if cmds := h.Update(now, TickMsg{}); len(cmds) != 1 || cmds[0].(LeaseCmd).Request.TaskLeasesUntil == 0 {
		t.Fatalf("task leases are not renewed: %+v", cmds)
	}
	want("renewal sent", true, false)
	applyStatus(false)
	want("renewal confirmed", true, true)
	list(true)
	want("list says leaving", false, false)
	list(false)
	applyStatus(true)
	want("worker says leaving", false, false)
	applyStatus(false)
	want("no longer leaving", true, true)
	h.Update(now, HoldMsg{Worker: "w", Host: "h1", Boot: "b", Grant: 2, Offset: 2})
	want("another host's hold", true, false)
}

// TestTaskLeaseExpiresWhenRepliesAreLost guards against task leases that never expire because a holder renews them with
// requests that arrive while the replies are lost.
func TestTaskLeaseExpiresWhenRepliesAreLost(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed, 1, 1)
		sim.reliable = true
		for range 100 {
			sim.advance()
		}
		h, fw := sim.hosts[0], sim.workers["w0"]
		if !h.AcceptsBatch("w0", h.localTime(sim.now)) {
			t.Fatal("task leases are not renewed before the cut")
		}
		last := fw.clock(sim.now)
		sim.repliesLostUntil["h0w0"] = sim.now.Add(time.Hour)
		expired := -1
		for i := range 40 * 20 {
			sim.advance()
			early := fw.taskLeaseEnd > fw.clock(sim.now)
			if h.TaskLeasesExpired("w0", h.localTime(sim.now)) && expired < 0 {
				expired = i
				if early {
					t.Fatalf("seed %d: the task lease is taken for expired %s before its end", seed, fw.taskLeaseEnd-fw.clock(sim.now))
				}
			}
		}
		if fw.taskLeaseEnd > last+30*time.Second {
			t.Errorf("seed %d: task lease ends %s after the last status, want at most 30s", seed, fw.taskLeaseEnd-last)
		}
		if expired < 0 {
			t.Errorf("seed %d: the host does not know after 40 s that the task lease expired", seed)
		}
	}
}

// TestTaskLeasesExpiredNeedsOwnHold guards against taking task leases for expired that another host may have renewed.
func TestTaskLeasesExpiredNeedsOwnHold(t *testing.T) {
	hold := HoldMsg{Worker: "w", Host: "h0", Boot: "b", Grant: 1}
	taken := HoldMsg{Worker: "w", Host: "h1", Boot: "b", Grant: 2}
	for name, c := range map[string]struct {
		holds []HoldMsg
		want  bool
	}{
		"own hold":         {[]HoldMsg{hold}, true},
		"no hold":          {nil, false},
		"other's hold":     {[]HoldMsg{hold, taken}, false},
		"late own hold":    {[]HoldMsg{taken, hold}, false},
		"hold of old boot": {[]HoldMsg{{Worker: "w", Host: "h0", Boot: "a", Grant: 1}}, false},
	} {
		h := New("h0")
		h.Update(epoch, WorkersMsg{Workers: []Worker{{ID: "w"}}})
		h.Update(epoch, PeersMsg{Hosts: []string{"h0"}})
		s := fleet.Status{Worker: "w", Boot: "b", Clock: time.Hour, Grant: 1, Holder: "h0", Until: time.Hour + 6*time.Second}
		h.Update(epoch, StatusMsg{Status: s, Sent: epoch, Received: epoch})
		for _, m := range c.holds {
			h.Update(epoch, m)
		}
		if got := h.TaskLeasesExpired("w", epoch.Add(time.Hour)); got != c.want {
			t.Errorf("%s: expired %v, want %v", name, got, c.want)
		}
	}
}

// TestRecordHoldNextOffset guards against a hold record that claims to follow another host's hold although the lease
// was confirmed before that hold was read, and against a hold record for a lease that has expired.
func TestRecordHoldNextOffset(t *testing.T) {
	h := New("h0")
	h.Update(epoch, WorkersMsg{Workers: []Worker{{ID: "w"}}})
	nextOffset := func(now time.Time) (n uint64) {
		for _, c := range h.Update(now, TickMsg{}) {
			if c, ok := c.(RecordHoldCmd); ok {
				n = c.NextOffset
			}
		}
		return n
	}
	applyStatus := func(sent, received time.Duration) {
		s := fleet.Status{Worker: "w", Boot: "b", Clock: time.Hour + received, Grant: 2, Holder: "h0", Until: 2 * time.Hour}
		h.Update(epoch.Add(received), StatusMsg{Status: s, Sent: epoch.Add(sent), Received: epoch.Add(received)})
	}
	applyStatus(0, time.Second)
	if n := nextOffset(epoch.Add(2 * time.Second)); n != 1 {
		t.Errorf("no hold was read: next offset %d, want 1", n)
	}
	h.Update(epoch.Add(4*time.Second), HoldMsg{Worker: "w", Host: "h1", Boot: "a", Grant: 9, Offset: 7})
	applyStatus(3*time.Second, 5*time.Second)
	if n := nextOffset(epoch.Add(6 * time.Second)); n != 1 {
		t.Errorf("confirmed by a request before the hold was read: next offset %d, want 1", n)
	}
	applyStatus(7*time.Second, 8*time.Second)
	if n := nextOffset(epoch.Add(9 * time.Second)); n != 8 {
		t.Errorf("confirmed by a request after the hold was read: next offset %d, want 8", n)
	}
	if n := nextOffset(epoch.Add(2 * time.Hour)); n != 0 {
		t.Errorf("a hold record is requested for an expired lease, next offset %d", n)
	}
}

// TestInheritedLeaseWaitsForLateStarts guards against a restarted host that relies on a status while a start of its
// earlier process, which carries the same grant, may still arrive.
func TestInheritedLeaseWaitsForLateStarts(t *testing.T) {
	for i, inherited := range []bool{true, true, false} {
		h := New("h0")
		h.Update(epoch, WorkersMsg{Workers: []Worker{{ID: "w"}}})
		var passed []time.Duration
		for at := time.Duration(0); at <= 3*time.Second; at += 500 * time.Millisecond {
			s := fleet.Status{Worker: "w", Boot: "b", Clock: time.Hour + at, Grant: 1, Holder: "h0", Until: 2 * time.Hour}
			if at == 0 && !inherited {
				s.Holder, s.Until = "", 0
			}
			now := epoch.Add(at + time.Second)
			// The first status may be one without tasks.
			m := StatusMsg{Status: s, Sent: now, Received: now, WithoutTasks: i > 0 && at == 0}
			for _, c := range h.Update(now, m) {
				if c, ok := c.(ApplyStatusCmd); ok && c.Full {
					passed = append(passed, at)
				}
			}
		}
		want := 500 * time.Millisecond
		if inherited {
			want = 2500 * time.Millisecond
		}
		if len(passed) == 0 || passed[0] != want {
			t.Errorf("inherited %v: statuses passed on at %v, want the first at %s", inherited, passed, want)
		}
	}
}

// TestLateStartOfEarlierProcess guards against a restarted host that takes a worker under the grant of its earlier
// process, so that the worker accepts a start of that process after a status has shown that it runs nothing.
func TestLateStartOfEarlierProcess(t *testing.T) {
	const step = 50 * time.Millisecond
	for restart := step; restart < 9*time.Second; restart += step {
		now := epoch
		fw := &fakeWorker{id: "w", clockRate: 1, bootedAt: epoch.Add(-time.Hour)}
		start := func(process string) *Manager {
			h := New("h0", WithHolder(process))
			h.Update(now, WorkersMsg{Workers: []Worker{{ID: "w"}}})
			h.Update(now, PeersMsg{Hosts: []string{"h0"}})
			return h
		}
		// tick carries out the messages of a process at once and reports whether a status was passed on.
		tick := func(h *Manager) (passed bool) {
			for cmds := h.Update(now, TickMsg{}); len(cmds) > 0; {
				var msg Msg = TickMsg{}
				switch c := cmds[0].(type) {
				case StatusCmd:
					msg = StatusMsg{Status: fw.status(now), Sent: now, Received: now, WithoutTasks: true}
				case LeaseCmd:
					msg = RefusedMsg{Status: fleet.Status{Worker: "w"}, Sent: now, Received: now}
					if ok, _ := fw.lease(now, c.Request); ok {
						msg = StatusMsg{Status: fw.status(now), Sent: now, Received: now, Seen: c.Request.Seen}
					}
				case ApplyStatusCmd:
					passed = true
				}
				cmds = append(cmds[1:], h.Update(now, msg)...)
			}
			return passed
		}
		first := start("h0/1")
		for !tick(first) {
			now = now.Add(step)
		}
		stoppedAt := now
		var second *Manager
		var lastFence fleet.Fence
		passed := false
		for ; now.Sub(stoppedAt) < 20*time.Second; now = now.Add(step) {
			// The first process sends no renewals any more, but may still send what it has decided on.
			if f, ok := first.Fence("w", now); ok {
				lastFence = f
			}
			if second == nil && now.Sub(stoppedAt) >= restart {
				second = start("h0/2")
			}
			if second != nil && tick(second) {
				passed = true
			}
			if passed && fw.accepts(now, lastFence) {
				t.Fatalf("restart after %s: %s after the stop the worker accepts a start of the earlier process, "+
					"although a status was passed on before", restart, now.Sub(stoppedAt))
			}
		}
		if !passed {
			t.Fatalf("restart after %s: the later process never gets the worker", restart)
		}
	}
}
