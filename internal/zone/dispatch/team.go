package dispatch

import "sassafraswind.example/sassafraswind/internal/port/fleet"

// Team holds the terms of a team, the part of an organisation for which jobs are submitted.
type Team struct {
	Name string
	// Weight is the team's part in what teams share when a service is full, relative to the weights of the others.
	Weight float64
	// Quota is the most that the team may have running at once. A dimension of 0 has no limit.
	Quota fleet.Size
}

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

// TeamStates returns the states of the teams that have open jobs, ordered by name.
func (s *Scheduler) TeamStates() []TeamState { return nil }

// IsVisible reports whether a caller of the team may see the job with the ID, which is so for an unknown one. An empty team
// sees all jobs, and a job without a team is visible to all.
func (s *Scheduler) IsVisible(id, team string) bool {
	j, ok := s.jobs[id]
	return !ok || team == "" || j.team == "" || j.team == team
}
