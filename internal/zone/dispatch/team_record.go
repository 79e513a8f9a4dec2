package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Operators may remove a team that has open jobs. These run on under its last terms, also under a later leader, which does not
// find the team in its catalog.

// prefixTeam is the prefix of the keys under which the terms of the teams with open jobs are stored.
const prefixTeam = "e/"

// teamRecord is the value of a team's key.
type teamRecord struct {
	Weight float64
	Quota  fleet.Size
	// Version is that of the catalog from which the terms are. A leader may have an older one.
	Version uint64
}

// keepTeam has the terms of a team with open jobs stored, if they are known and not stored yet. A record that is there already
// is kept up to date without open jobs as well, since it holds once the team has left the catalog. A team that has left may get
// an open job again, which a host with an older catalog has forwarded: its last terms are stored with the catalog's version.
func (s *Scheduler) keepTeam(a *teamAccount) {
	terms, ok := s.catalog.Teams[a.name]
	kept, isKept := s.keptTeams[a.name]
	switch {
	case a.openJobs == 0 && !isKept:
		return
	case !ok && (isKept || a.name == "" || !a.isKnown):
		return
	case !ok:
		terms = a.terms
	}
	if isKept && (kept.Version > s.catalog.Version || (kept.Weight == terms.Weight && kept.Quota == terms.Quota)) {
		return
	}
	rec := teamRecord{Weight: terms.Weight, Quota: terms.Quota, Version: s.catalog.Version}
	s.keptTeams[a.name] = rec
	s.journal.records = append(s.journal.records, Record{Key: prefixTeam + a.name, Value: encode(&rec)})
}

// keepTeams has the terms of all teams with open jobs stored that have changed.
func (s *Scheduler) keepTeams() {
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		s.keepTeam(s.accounts[name])
	}
}

// restoreTeam restores the terms of a team. It returns an error if the record is malformed.
func (s *Scheduler) restoreTeam(name string, value []byte) error {
	var rec teamRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode team %s", name)
	}
	s.keptTeams[name] = rec
	s.applyTerms(s.accountOf(name))
	return nil
}

// noteRemovedTeams keeps the terms of the teams that a new catalog doesn't have any more, see forgetTeams.
func (s *Scheduler) noteRemovedTeams(c Catalog) {
	for name := range s.catalog.Teams {
		if _, ok := c.Teams[name]; !ok {
			s.accountOf(name)
		}
	}
}

// forgetTeams removes the records of teams that have left the catalog and have no open jobs. Their terms are forgotten after
// Limits.JobRetention: a host with an older catalog may forward a job of theirs until it has read the new one.
func (s *Scheduler) forgetTeams(now time.Time) {
	var left []*teamAccount
	for name, a := range s.accounts {
		if _, ok := s.catalog.Teams[name]; ok || name == "" || a.openJobs > 0 {
			a.leftAt = time.Time{}
			continue
		}
		left = append(left, a)
	}
	slices.SortFunc(left, func(a, b *teamAccount) int { return cmp.Compare(a.name, b.name) })
	for _, a := range left {
		if a.leftAt.IsZero() {
			a.leftAt = now
		}
		if _, ok := s.keptTeams[a.name]; ok {
			delete(s.keptTeams, a.name)
			s.journal.records = append(s.journal.records, Record{Key: prefixTeam + a.name})
		}
		if a.Used() == (fleet.Size{}) && now.Sub(a.leftAt) > s.limits.JobRetention {
			delete(s.accounts, a.name)
			if a.isNamed {
				s.namedTeams--
			}
		}
	}
}
