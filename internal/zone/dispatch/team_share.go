package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/zone/quota"
)

// A team that asks for many times its usual share of a full service would get all room that becomes free, since its late work
// has the earliest latest starts. So a decision first considers what teams may start within their entitlement, and then all
// else, both in the order of rank. Nothing that runs is stopped for that, and nobody waits while there is room.

// capacityInterval is the interval at which the usable capacity of the services is added up: workers come and go far less
// often than decisions are made.
const capacityInterval = 250 * time.Millisecond

// serviceShares is what teams share of a service.
type serviceShares struct {
	// capacity is the sum of the capacities of the usable workers.
	capacity fleet.Size
	// weights is the sum of the weights of the teams with running or waiting tasks, as of the last decision.
	weights float64
	// fullIn is the number of the last decision in which a short task found no room, counted from 1.
	fullIn uint64
}

// hasTeams reports whether any team has terms, so that services are shared by weight.
func (s *Scheduler) hasTeams() bool { return len(s.catalog.Teams) > 0 || len(s.keptTeams) > 0 }

// sharesOf returns what teams share of the service. The capacity of one that has not been seen is added up at once: without it,
// nobody would be entitled to anything there until it is.
func (s *Scheduler) sharesOf(service string) *serviceShares {
	sh := s.shares[service]
	if sh == nil {
		sh = &serviceShares{capacity: s.usableCapacity(service)}
		s.shares[service] = sh
	}
	return sh
}

// updateShares works out who shares each service in the present decision.
func (s *Scheduler) updateShares(now time.Time) {
	if now.Sub(s.capacityAt) >= capacityInterval {
		s.capacityAt = now
		s.updateCapacities()
	}
	for _, sh := range s.shares {
		sh.weights = 0
	}
	for _, a := range s.accounts {
		for _, u := range a.uses {
			if u.running > 0 || u.waiting > 0 {
				u.shares.weights += a.terms.Weight
			}
		}
	}
	for _, a := range s.accounts {
		for _, u := range a.uses {
			u.entitled = quota.Part(u.shares.capacity, u.entitlement())
			u.isSpent = !u.isEntitledTo(u.smallest, fleet.Size{})
		}
	}
}

// updateCapacities adds up the capacities of the usable workers of each service with jobs.
func (s *Scheduler) updateCapacities() {
	for service, sh := range s.shares {
		sh.capacity = s.usableCapacity(service)
	}
}

// usableCapacity returns the sum of the capacities of the usable workers of a service.
func (s *Scheduler) usableCapacity(service string) fleet.Size {
	var sum fleet.Size
	for _, w := range s.byService[service] {
		if w.isUsable() && !s.catalog.Evacuated[w.Zone] {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// entitlement returns the share of the service to which the team is entitled.
func (u *teamUse) entitlement() float64 {
	return quota.Entitlement(u.account.terms.Weight, u.shares.weights)
}

// isEntitledTo reports whether the team stays within its entitlement with more of the given size at work, beside what is planned
// for it. Its dominant share is within it if the use of each dimension is. Among many teams the entitlement may be smaller than
// one task or gang, so a team with nothing running or planned is entitled to its next start whatever its size.
func (u *teamUse) isEntitledTo(size, planned fleet.Size) bool {
	if u.running == 0 && planned == (fleet.Size{}) {
		return true
	}
	return u.used.Add(planned).Add(size).Fits(u.entitled)
}

// startInPasses starts the waiting tasks that fit on a worker: those within the entitlement of their teams, then the others.
func (s *Scheduler) startInPasses(now time.Time, ready []*stage) {
	s.updateShares(now)
	var failed []failedPlacement
	beyond := s.beyondShares[:0]
	s.withinShares = true
	for _, st := range ready {
		// Most teams have spent their shares of a full service: their stages aren't looked at.
		u := st.job().use
		if u.isSpent {
			beyond = append(beyond, st)
			continue
		}
		st.isBeyondShare = false
		s.startWaiting(now, st, &failed)
		if st.isBeyondShare {
			beyond = append(beyond, st)
			u.isSpent = !u.isEntitledTo(u.smallest, fleet.Size{})
		}
	}
	s.withinShares = false
	for _, st := range beyond {
		s.startWaiting(now, st, &failed)
	}
	clear(beyond)
	s.beyondShares = beyond
}

// noteFull notes that no worker has room for the tasks of a stage, which may run anywhere.
func (s *Scheduler) noteFull(st *stage) {
	if st.isShort() {
		st.job().use.shares.fullIn = s.decisions + 1
	}
}

// exceedsShare reports whether the present pass leaves the tasks of a stage to the next one.
func (s *Scheduler) exceedsShare(st *stage, tasks int) bool {
	if !s.withinShares || tasks == 0 || st.job().use.isEntitledTo(quota.Times(st.step().Size, tasks), fleet.Size{}) {
		return false
	}
	st.isBeyondShare = true
	return true
}

// mayReclaimFor reports whether room may be reclaimed for a task of the stage, beside that of the given size for others of its
// team: what others run is not stopped for a team beyond its entitlement.
func (s *Scheduler) mayReclaimFor(st *stage, planned fleet.Size) bool {
	return s.mayPlanFor(st.job().use, st.step().Size, planned)
}

// mayHoldForTeam reports whether a worker may be held for the task, beside those that are held for others of its team.
func (s *Scheduler) mayHoldForTeam(t *task) bool {
	u, held := t.job().use, fleet.Size{}
	for _, h := range s.holds {
		if h.task.job().use == u {
			held = held.Add(h.task.step().Size)
		}
	}
	return s.mayPlanFor(u, t.step().Size, held)
}

// mayPlanFor reports whether room of the given size may be made for the team, beside what is planned for it already.
func (s *Scheduler) mayPlanFor(u *teamUse, size, planned fleet.Size) bool {
	return u.account.isKnown && u.account.Fits(planned.Add(size)) && (!s.hasTeams() || u.isEntitledTo(size, planned))
}
