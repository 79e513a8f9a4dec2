package cli

import (
	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// teamSetCmd sets the quota of a team.
type teamSetCmd struct {
	Name         string   `arg:"" help:"Name of the team."`
	Cores        *float64 `help:"Cores that the team may use." placeholder:"N"`
	Memory       *int64   `help:"Memory in MiB that the team may use." placeholder:"N"`
	Accelerators *int64   `help:"Accelerators that the team may use." placeholder:"N"`
}

// Help returns the details of the command.
func (teamSetCmd) Help() string {
	return `Only the given parts of the quota change. A quota that a team does not use is lent to others. The change names the
version of the team that was read as its base, and is rejected if someone else changed the team meanwhile.

Example:

  sassafraswind team set desk --cores 1200 --memory 4500000

Exit codes: 0 accepted; 1 rejected or bad input; 3 unknown.`
}

// Run sets the quota.
func (c *teamSetCmd) Run(s *session) error {
	if c.Cores == nil && c.Memory == nil && c.Accelerators == nil {
		return errors.New("at least one of --cores, --memory and --accelerators is required")
	}
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	match := func(team config.Team) bool { return team.Name == c.Name }
	old, ok := find(view.Document.Teams, match)
	if !ok {
		return errors.Newf("there is no team %q; new teams are declared with apply", c.Name)
	}
	updated := old
	if c.Cores != nil {
		updated.Quota.Cores = int64(*c.Cores * 1000)
	}
	if c.Memory != nil {
		updated.Quota.Memory = *c.Memory
	}
	if c.Accelerators != nil {
		updated.Quota.Accelerators = *c.Accelerators
	}
	entity := "team " + c.Name
	base := view.Versions.Teams[c.Name]
	// A view that is not fresh may miss changes, so only the host can tell that there is nothing to change.
	if updated == old && view.Fresh {
		return s.printUnchanged(entity+" has this quota", base, view.Version)
	}
	changes := []entityChange{{
		Change: config.Change{Entity: "team", Name: c.Name, Action: "change"}, Fields: compareFields(old, updated),
	}}
	return s.propose(config.Proposal{BaseVersion: base, Team: &updated}, entity+" has the new quota", changes,
		s.fieldsExplainer(entity, old, func(currentView operator.ConfigView) any {
			current, _ := find(currentView.Document.Teams, match)
			return current
		}))
}
