package dispatch

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/zone/quota"
)

const (
	// maxManifestAge is how long before a change of leaders the manifest may have been replaced that the new leader begins
	// with, maxManifestLag the longest time until a leader has read a new one.
	maxManifestAge, maxManifestLag = time.Second, 2 * time.Second
	// teamRuns is the share of runs with teams: one in so many.
	teamRuns = 2
)

// simTeams are the teams of a simulation. They have a generator of their own, so that the seeds keep their draws.
type simTeams struct {
	rng *rand.Rand
	// byJob holds the team of each job.
	byJob map[string]string
	// manifests holds the versions that were published, the oldest first.
	manifests []simManifest
	// readAt is when the newest version is read. Versions are read in order: a leader that skips the last one with a team would
	// keep the terms before.
	readAt time.Time
}

// simManifest is a published version.
type simManifest struct {
	at      time.Time
	catalog Catalog
}

// drawTeams adds teams and changes of their quotas to some of the simulations.
func (sim *simulation) drawTeams(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 21))
	if rng.IntN(teamRuns) != 0 {
		return
	}
	sim.teams = &simTeams{rng: rng, byJob: map[string]string{}}
	sim.teams.manifests = []simManifest{{at: sim.now, catalog: sim.catalog}}
	teams := map[string]Team{}
	for i := range 1 + rng.IntN(3) {
		name := "t" + strconv.Itoa(i)
		teams[name] = Team{Name: name, Weight: float64(1 + rng.IntN(5)), Quota: sim.teams.drawQuota()}
	}
	sim.publish(teams)
	for range rng.IntN(4) {
		name, remove := "t"+strconv.Itoa(rng.IntN(3)), rng.IntN(4) == 0
		size := sim.teams.drawQuota()
		sim.after(time.Duration(rng.IntN(12_000))*time.Millisecond, func() {
			changed := maps.Clone(sim.catalog.Teams)
			if remove {
				delete(changed, name)
			} else {
				changed[name] = Team{Name: name, Weight: 1, Quota: size}
			}
			sim.publish(changed)
		})
	}
}

// drawQuota returns a quota for at least one task of any job.
func (st *simTeams) drawQuota() fleet.Size {
	size := fleet.Size{Cores: 2500 + st.rng.Int64N(8000)}
	if st.rng.IntN(2) == 0 {
		size.Memory = 500 + st.rng.Int64N(4000)
	}
	return size
}

// liftQuotas publishes a manifest that limits no team.
func (sim *simulation) liftQuotas() {
	if sim.teams == nil {
		return
	}
	teams := map[string]Team{}
	for i := range 3 {
		name := "t" + strconv.Itoa(i)
		teams[name] = Team{Name: name, Weight: 1}
	}
	sim.publish(teams)
}

// publish publishes a version of the manifest with the teams, which the leader reads a while later.
func (sim *simulation) publish(teams map[string]Team) {
	c := sim.catalog
	c.Version++
	c.Teams = teams
	sim.catalog = c
	sim.teams.manifests = append(sim.teams.manifests, simManifest{at: sim.now, catalog: c})
	l, lag := sim.leader, time.Duration(sim.teams.rng.Int64N(int64(maxManifestLag)))
	sim.teams.readAt = laterOf(sim.teams.readAt.Add(1), sim.now.Add(lag))
	sim.after(sim.teams.readAt.Sub(sim.now), func() { l.s.SetCatalog(c) })
}

// setFirstCatalog gives a new leader the manifest, or one that has been replaced shortly before.
func (sim *simulation) setFirstCatalog(l *simLeader) {
	if sim.teams == nil || len(sim.teams.manifests) < 2 || sim.teams.rng.IntN(2) == 0 {
		l.s.SetCatalog(sim.catalog)
		return
	}
	last := sim.teams.manifests[len(sim.teams.manifests)-1]
	if sim.now.Sub(last.at) < maxManifestAge {
		l.s.SetCatalog(sim.teams.manifests[len(sim.teams.manifests)-2].catalog)
		sim.after(time.Duration(sim.teams.rng.Int64N(int64(maxManifestLag))), func() { l.s.SetCatalog(sim.catalog) })
		return
	}
	l.s.SetCatalog(sim.catalog)
}

// teamOf returns the team of the job, drawn when it is first submitted.
func (sim *simulation) teamOf(id string) string {
	if sim.teams == nil {
		return ""
	}
	name, ok := sim.teams.byJob[id]
	if !ok {
		if n := sim.teams.rng.IntN(4); n > 0 {
			name = "t" + strconv.Itoa(n-1)
		}
		sim.teams.byJob[id] = name
	}
	return name
}

// quotaSince returns the largest quota in each dimension that a leader may have taken for that of the team since a time. It
// returns false if the team has none.
func (st *simTeams) quotaSince(name string, since time.Time) (fleet.Size, bool) {
	var most fleet.Size
	var last Team
	known := false
	merge := func(a, b int64) int64 {
		if known && (a == 0 || b == 0) {
			return 0
		}
		return max(a, b)
	}
	for i, m := range st.manifests {
		if t, ok := m.catalog.Teams[name]; ok {
			last = t
		}
		if last.Name == "" || (i+1 < len(st.manifests) &&
			st.manifests[i+1].at.Add(maxManifestAge+maxManifestLag).Before(since)) {
			continue
		}
		most = fleet.Size{
			Cores: merge(most.Cores, last.Quota.Cores), Memory: merge(most.Memory, last.Quota.Memory),
			Accelerators: merge(most.Accelerators, last.Quota.Accelerators),
		}
		known = true
	}
	return most, known
}

// checkQuota checks that the start of a run, which was decided at the given time, brings no team over its quota.
func (sim *simulation) checkQuota(started string, decidedAt time.Time) {
	id, _, _, _, _ := splitTaskName(started)
	name := sim.teamOf(id)
	if name == "" {
		return
	}
	var used fleet.Size
	for _, sw := range sim.workers {
		if sw.down {
			continue
		}
		for k, r := range sw.runs {
			if id, _, _, _, _ := splitTaskName(k.task); sim.teamOf(id) == name {
				used = used.Add(r.size)
			}
		}
	}
	most, ok := sim.teams.quotaSince(name, decidedAt)
	if !ok || !quota.NewPartial(most).Admits(used) {
		sim.recordViolation("%s brings team %s to %+v, its quota is %+v", started, name, used, most)
	}
}
