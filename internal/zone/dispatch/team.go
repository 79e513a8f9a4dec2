package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/zone/quota"
)

// Team holds the terms of a team, the part of an organisation for which jobs are submitted.
type Team struct {
	Name string
	// Weight is the team's part in what teams share when a service is full, relative to the weights of the others.
	Weight float64
	// Quota is the most that the team may have running at once. A dimension of 0 has no limit.
	Quota fleet.Size
}

// IsVisible reports whether a caller of the team may see the job with the ID, which is so for an unknown one, also if it was
// cancelled. An empty team sees all jobs, and a job without a team is visible to all.
func (s *Scheduler) IsVisible(id, team string) bool {
	j, ok := s.jobs[id]
	return !ok || j.isDenied() || team == "" || j.team == "" || j.team == team
}

// anonymousWeight is the weight of all work without a team.
const anonymousWeight = 1

// teamAccount is what is counted for a team. All work without a team has one, with an empty name.
type teamAccount struct {
	name string
	// isKnown is set once the terms of the team are known. Nothing of it starts before.
	isKnown bool
	terms   Team
	// Account holds the quota, and in its use all that counts against it: the runs, the orders that may be carried out late,
	// what may run on workers of an earlier term, and the members of gangs and trials that are about to start.
	quota.Account
	// certain is the part of the use that the runs and the orders that may be carried out late have.
	certain fleet.Size
	// lasting is the part of the use that long-running tasks have.
	lasting fleet.Size
	quotaReservation
	// uses holds what the team has in each service.
	uses map[string]*teamUse
	// openJobs counts the jobs that have not ended, openTasks the tasks in memory.
	openJobs, openTasks int
	// leftAt is since when the team is known to have left the catalog without open jobs, the zero time if it has not.
	leftAt time.Time
	// held counts the starts that the quota held back, refused the jobs that were refused because of limits of the team, both
	// in this term.
	held, refused int
	// isNamed is set if the state of the team is told apart from those of others, see TeamStates.
	isNamed bool
	quotaEpisode
}

// teamUse is what a team has in one service.
type teamUse struct {
	account *teamAccount
	service string
	// running and used are the number of the team's runs and the sum of their sizes.
	running int
	used    fleet.Size
	// waiting is the number of tasks of open jobs that need a start, whether their dependencies are done or not.
	waiting int
	// smallest is at most the size of any of them, in each dimension. It is valid while tasks wait.
	smallest fleet.Size
	// isSpent is set while none of them can start within the entitlement, as of the last decision.
	isSpent bool
	// shares is what teams share of the service, entitled the part of the team as of the last decision.
	shares   *serviceShares
	entitled fleet.Size
	// backlogs holds the waiting work by class.
	backlogs map[backlogClass]*backlog
}

// accountOf returns the account of the team with the name, a new one if there is none.
func (s *Scheduler) accountOf(name string) *teamAccount {
	a := s.accounts[name]
	if a == nil {
		a = &teamAccount{name: name, uses: map[string]*teamUse{}}
		s.accounts[name] = a
		s.applyTerms(a)
	}
	return a
}

const (
	// unknownTeamRetryAfter is the time after which the caller of a job of an unknown team should retry: by then the host that
	// has identified the team mostly has the leader's catalog.
	unknownTeamRetryAfter = time.Second
	unknownTeamReason     = "the team is not known"
)

// knowsTeam reports whether the terms of the team are known. A job of another one would wait for ever if no catalog with the
// team followed, so it is accepted only from a host with a newer catalog than this one.
func (s *Scheduler) knowsTeam(name string) bool {
	if a := s.accounts[name]; a != nil {
		return a.isKnown
	}
	_, ok := s.catalog.Teams[name]
	return ok || name == ""
}

// useOf returns what the team has in the service.
func (s *Scheduler) useOf(a *teamAccount, service string) *teamUse {
	u := a.uses[service]
	if u == nil {
		u = &teamUse{account: a, service: service, shares: s.sharesOf(service), backlogs: map[backlogClass]*backlog{}}
		a.uses[service] = u
	}
	return u
}

// setTeam sets the team of a new job.
func (s *Scheduler) setTeam(j *Job, name string) {
	s.countTasks(j, -j.overheadTasks)
	j.team = name
	j.use = s.useOf(s.accountOf(name), j.service)
	s.countTasks(j, j.overheadTasks)
}

// openJob counts the job as open.
func (s *Scheduler) openJob(j *Job) {
	a := j.use.account
	if j.isOpen {
		return
	}
	j.isOpen = true
	a.openJobs++
	s.nameTeam(a)
	s.keepTeam(a)
}

// closeJob counts the job as ended, or as removed.
func (s *Scheduler) closeJob(j *Job) {
	if !j.isOpen {
		return
	}
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			st.addWaiting(-st.waiting)
		}
	}
	j.isOpen = false
	j.use.account.openJobs--
}

// applyTerms sets the terms of a team: those of the catalog, or of the log if these are newer or the team has left the
// catalog. A team that has left without open jobs keeps its last ones, since a host may forward a job of it a moment later.
func (s *Scheduler) applyTerms(a *teamAccount) {
	if a.name == "" {
		a.isKnown, a.terms = true, Team{Weight: anonymousWeight}
		return
	}
	terms, ok := s.catalog.Teams[a.name]
	if kept, isKept := s.keptTeams[a.name]; isKept && (!ok || kept.Version > s.catalog.Version) {
		terms, ok = Team{Name: a.name, Weight: kept.Weight, Quota: kept.Quota}, true
	}
	if ok {
		a.isKnown, a.terms = true, terms
		a.SetQuota(quota.NewPartial(terms.Quota))
	}
}

// applyTeams applies the terms of a new catalog.
func (s *Scheduler) applyTeams() {
	for _, a := range s.accounts {
		s.applyTerms(a)
	}
	s.keepTeams()
}
