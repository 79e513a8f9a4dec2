package node

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/host/telemetry"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// Config returns the configuration, with its age, for operators.
func (n *Node) Config(now time.Time) operator.ConfigView {
	freshAt := n.configFreshAt()
	age := now.Sub(freshAt)
	if freshAt.IsZero() {
		age = now.Sub(n.startedAt)
	}
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	v := operator.NewConfigView(n.config.state, age, !freshAt.IsZero() && age <= n.cfg.Freshness.MaxViewAge)
	v.Zones = n.addSettingsZones(v.Zones)
	return v
}

// addSettingsZones returns known with the zones of the settings file that the configuration does not name.
func (n *Node) addSettingsZones(known []config.Zone) []config.Zone {
	for _, z := range n.cfg.Zones {
		if !slices.ContainsFunc(known, func(k config.Zone) bool { return k.Name == z.Name }) {
			known = append(known, config.Zone{Name: z.Name, Region: z.Region})
		}
	}
	return known
}

// Change writes one configuration record and waits until it was read back. It returns an error if the write was not
// confirmed or the record was rejected. The error is marked with operator.ErrNotSent if the record was certainly not
// written.
func (n *Node) Change(ctx context.Context, item record.Item) (operator.ChangeResult, error) {
	if !n.inFlight.begin() {
		return operator.ChangeResult{}, errors.Wrap(operator.ErrNotSent, "node: stopping")
	}
	defer n.inFlight.end()
	n.config.mu.Lock()
	before := n.config.state.Version()
	n.config.mu.Unlock()
	r, err := n.config.feed.Write(ctx, item)
	if errors.Is(err, feed.ErrTooLarge) {
		return operator.ChangeResult{}, errors.Mark(err, operator.ErrNotSent)
	}
	if err != nil {
		return operator.ChangeResult{}, errors.Wrap(err, "node: write configuration")
	}
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	after := n.config.state.Version()
	return operator.ChangeResult{
		Version: n.itemVersion(item), DocumentVersion: after, Changed: after > before,
	}, r.ItemErrors[0]
}

// itemVersion returns the version of the class, team or zone that the item changes, or else that of the whole
// configuration. The caller holds config.mu.
func (n *Node) itemVersion(item record.Item) uint64 {
	switch item.Kind {
	case config.RecordClass:
		if m, err := record.DecodeItem[config.ClassUpdate](item); err == nil {
			_, v, _ := n.config.state.Class(m.Class.Name)
			return v
		}
	case config.RecordTeam:
		if m, err := record.DecodeItem[config.TeamUpdate](item); err == nil {
			_, v, _ := n.config.state.Team(m.Team.Name)
			return v
		}
	case config.RecordZone:
		if m, err := record.DecodeItem[config.ZoneUpdate](item); err == nil {
			_, v, _ := n.config.state.Zone(m.Name)
			return v
		}
	}
	return n.config.state.Version()
}

// Jobs returns the jobs of this zone that match the filter, newest first and at most Limit if that is set.
func (n *Node) Jobs(_ context.Context, f operator.JobFilter) ([]operator.Job, error) {
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	var out []operator.Job
	for j := range n.zone.jobs.Jobs() {
		states := map[string]int{}
		for s, c := range j.Counts() {
			if c > 0 {
				states[job.State(s).String()] = c
			}
		}
		if f.Class != "" && j.Class() != f.Class || f.State != "" && states[f.State] == 0 {
			continue
		}
		out = append(out, operator.Job{
			ID: j.ID(), Class: j.Class(), Team: j.Team(), Count: j.Count(), States: states, Cancelled: j.Cancelled(),
		})
	}
	// Job IDs are UUIDv7, so their order is the order of their creation.
	slices.SortFunc(out, func(a, b operator.Job) int {
		switch {
		case a.ID > b.ID:
			return -1
		case a.ID < b.ID:
			return 1
		}
		return 0
	})
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[:f.Limit]
	}
	return out, nil
}

// Status returns the state of the host for operators.
func (n *Node) Status(now time.Time) operator.Status {
	view := n.Config(now)
	ready, reason := n.Ready(now)
	s := operator.Status{
		Host: n.cfg.Host, Zone: n.cfg.Zone, Region: n.cfg.Region, Ready: ready, Reason: reason, Stopping: n.stopping.Load(),
		Config: operator.ConfigStatus{Version: view.Version, Age: view.Age, Fresh: view.Fresh},
		Zones:  view.Zones, Peers: n.peerStatus(now),
	}
	for stream, f := range map[string]*feed.Feed{
		streamConfig: n.config.feed, streamKeys: n.keys.feed, streamZone + n.cfg.Zone: n.zone.feed,
	} {
		c := f.Counts()
		st := operator.StreamStatus{
			Stream: stream, Position: f.Position(), Skipped: c.Malformed + c.NewerVersion + c.UnknownKind, Rejected: c.Rejected,
		}
		if at := f.FreshAsOf(); !at.IsZero() {
			st.Age = operator.Millis(now.Sub(at))
		}
		s.Streams = append(s.Streams, st)
	}
	slices.SortFunc(s.Streams, func(a, b operator.StreamStatus) int { return len(a.Stream) - len(b.Stream) })
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	counts := n.zone.jobs.Counts()
	s.Pending, s.Running = counts[job.Pending], counts[job.Running]
	s.Workers = n.workerStatus(now)
	for _, c := range view.Document.Classes {
		s.Classes = append(s.Classes, n.classStatus(now, c))
	}
	return s
}

// workerStatus returns the state of the held workers. The caller holds zone.mu.
func (n *Node) workerStatus(now time.Time) []operator.WorkerStatus {
	out := make([]operator.WorkerStatus, 0, len(n.zone.workers))
	for _, id := range n.zone.leases.HeldWorkers(now) {
		w := n.zone.workers[id]
		ws := operator.WorkerStatus{
			Worker: id, Slots: w.status.Slots,
			FreeSlots: w.status.Slots - n.zone.capacity.CallCount(id), Running: len(n.zone.jobs.RunningOn(id)),
		}
		switch {
		case w.leaving || w.status.Leaving:
			ws.State = "leaving"
		case n.zone.policy.IsQuarantined(id):
			ws.State = "quarantined"
		}
		out = append(out, ws)
	}
	return out
}

// classStatus compares a class with its target. The caller holds zone.mu.
func (n *Node) classStatus(now time.Time, c config.Class) operator.ClassStatus {
	s := operator.ClassStatus{
		Name: c.Name, Kind: c.Kind, MeetsTarget: true, Pending: n.zone.jobs.PendingLen(c.Name),
		Running: n.zone.jobs.ClassUsage(c.Name).Tasks,
		Target: operator.Target{
			P99Latency: operator.Millis(c.Target.P99Latency), FinishedPerHour: c.Target.FinishedPerHour,
			EvictionsPerTaskDay: c.Target.EvictionsPerTaskDay,
		},
	}
	if v := n.zone.classes[c.Name]; v != nil {
		s.P99Latency = operator.Millis(v.latencies.p99)
	}
	if counters := n.zone.counters[c.Name]; counters != nil {
		s.FinishedPerHour = counters.finished.perHour(now)
		if events, observed := counters.evicted.total(now); events > 0 {
			s.EvictionsPerTaskDay = float64(events) / max(observed, time.Minute).Hours() * 24 / float64(max(1, s.Running))
		}
	}
	// A batch class without pending tasks has no work left to finish.
	if n.zone.policy.MissesTarget(c.Name) || c.Kind == config.KindBatch && s.Pending > 0 {
		s.Reason = n.zone.policy.ExplainMiss(now, c.Name)
		s.MeetsTarget = s.Reason == ""
	}
	return s
}

// classStates returns the state of the declared classes for the gauges.
func (n *Node) classStates() []telemetry.ClassState {
	now := time.Now()
	n.config.mu.Lock()
	classes := n.config.state.Document().Classes
	n.config.mu.Unlock()
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	out := make([]telemetry.ClassState, 0, len(classes))
	for _, c := range classes {
		s := n.classStatus(now, c)
		out = append(out, telemetry.ClassState{
			Class: c.Name, MeetsTarget: s.MeetsTarget, P99Seconds: time.Duration(s.P99Latency).Seconds(),
			Pending: s.Pending, Running: s.Running,
		})
	}
	return out
}

// peerStatus returns the state of the other entry hosts.
func (n *Node) peerStatus(now time.Time) []operator.PeerStatus {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	out := make([]operator.PeerStatus, 0, len(n.peers.sortedAddresses))
	for _, a := range n.peers.sortedAddresses {
		v := n.peers.known[a]
		s := v.state
		ps := operator.PeerStatus{
			Host: s.Host, Zone: s.Zone, Region: s.Region, Version: s.Version,
			FreeSlots: s.FreeSlots, HeldWorkers: s.HeldWorkers, State: "not ready",
		}
		switch {
		case v.stateAt.IsZero() || now.Sub(v.stateAt) > 10*syncPeriod:
			ps.State = "silent"
		case s.Stopping:
			ps.State = "leaving"
		case s.Ready:
			ps.State = "ready"
		}
		if !v.stateAt.IsZero() {
			ps.SinceLastSync = operator.Millis(now.Sub(v.stateAt))
		}
		out = append(out, ps)
	}
	return out
}
