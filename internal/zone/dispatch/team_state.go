package dispatch

import (
	"cmp"
	"slices"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// maxNamedTeams is the largest number of teams whose states are told apart, which bounds the metrics. The others are summed
	// up under otherTeams.
	maxNamedTeams = 64
	otherTeams    = "other"
)

// TeamState is what a team has in the scheduler at present.
type TeamState struct {
	Name string
	// Running counts the team's runs, Waiting its tasks that wait for a start and whose dependencies are done.
	Running, Waiting int
	// Used is the sum of the sizes of the runs.
	Used fleet.Size
	// Refused counts the jobs that were refused because of the team's limits, Held the starts that its quota held back, both
	// since the term began.
	Refused, Held int
}

// TeamStates returns the states of the teams that have open jobs, runs or refused jobs, ordered by name. The first
// maxNamedTeams of the term have a name, all others are one state, which is the last. Work without a team is left out.
func (s *Scheduler) TeamStates() []TeamState {
	waiting := map[*teamAccount]int{}
	for _, st := range s.ready {
		if !st.job().isFinal() {
			waiting[st.job().use.account] += st.waiting
		}
	}
	var out []TeamState
	others, hasOthers := TeamState{Name: otherTeams}, false
	for _, a := range s.accounts {
		state := a.state(waiting[a])
		switch {
		case a.name == "" || (a.openJobs == 0 && state.Running == 0 && a.refused == 0):
		case a.isNamed && a.name != otherTeams:
			out = append(out, state)
		default:
			hasOthers = true
			others.add(state)
		}
	}
	slices.SortFunc(out, func(a, b TeamState) int { return cmp.Compare(a.Name, b.Name) })
	if hasOthers {
		out = append(out, others)
	}
	return out
}

// state returns the state of the team, with its number of waiting tasks.
func (a *teamAccount) state(waiting int) TeamState {
	state := TeamState{Name: a.name, Waiting: waiting, Refused: a.refused, Held: a.held}
	for _, u := range a.uses {
		state.Running += u.running
		state.Used = state.Used.Add(u.used)
	}
	return state
}

// add adds the numbers of another state.
func (t *TeamState) add(o TeamState) {
	t.Running, t.Waiting, t.Used = t.Running+o.Running, t.Waiting+o.Waiting, t.Used.Add(o.Used)
	t.Refused, t.Held = t.Refused+o.Refused, t.Held+o.Held
}

// nameTeam has the state of the team told apart from others, if few enough are.
func (s *Scheduler) nameTeam(a *teamAccount) {
	if !a.isNamed && a.name != "" && s.namedTeams < maxNamedTeams {
		a.isNamed = true
		s.namedTeams++
	}
}

// countRefusal counts a job that is refused because of the limits of its team.
func (s *Scheduler) countRefusal(j *Job) {
	s.nameTeam(j.use.account)
	j.use.account.refused++
}
