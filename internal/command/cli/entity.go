package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// versioned is the JSON form of a listed class, team or zone, with its version.
type versioned[T any] struct {
	Version uint64 `json:"version"`
	Value   T      `json:"value"`
}

// addVersions pairs each value with the version that the map holds for its name.
func addVersions[T any](list []T, versions map[string]uint64, name func(T) string) []versioned[T] {
	out := make([]versioned[T], len(list))
	for i, v := range list {
		out[i] = versioned[T]{Version: versions[name(v)], Value: v}
	}
	return out
}

// find returns the first value that matches, and whether there is one.
func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var none T
	return none, false
}

// printStaleNote prints the age of the configuration if the host's view is not fresh.
func printStaleNote(w *tabwriter.Writer, view operator.ConfigView) {
	if !view.Fresh {
		_, _ = fmt.Fprintf(w, "The host's view is %s old; newer changes may be missing.\n", view.Age)
	}
}

// classCmds groups the commands for classes.
type classCmds struct {
	List classListCmd `cmd:"" help:"List classes with their targets and versions."`
	Set  classSetCmd  `cmd:"" help:"Set targets of a class."`
}

// classListCmd lists the classes.
type classListCmd struct{}

// Run lists the classes.
func (classListCmd) Run(s *session) error {
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	list := addVersions(view.Document.Classes, view.Versions.Classes, func(c config.Class) string { return c.Name })
	return s.print(list, func(w *tabwriter.Writer) {
		printRow(w, "CLASS", "KIND", "ANSWER", "FINISHED", "DISRUPTION", "VERSION")
		for _, c := range list {
			t := c.Value.Target
			printRow(w, c.Value.Name, c.Value.Kind,
				valueOrDash(t.P99Latency), valueOrDash(t.FinishedPerHour), valueOrDash(t.EvictionsPerTaskDay),
				c.Version)
		}
		printStaleNote(w, view)
	})
}

// valueOrDash returns v, or "-" if v is the zero value.
func valueOrDash[T comparable](v T) any {
	var zero T
	if v == zero {
		return "-"
	}
	return v
}

// classSetCmd sets targets of a class.
type classSetCmd struct {
	Name       string         `arg:"" help:"Name of the class."`
	Answer     *time.Duration `help:"99th percentile of the answer time, such as 200ms." placeholder:"TIME"`
	Finished   *float64       `help:"Tasks finished per hour." placeholder:"N"`
	Disruption *float64       `help:"Tolerable evictions per running task and day." placeholder:"N"`
}

// Help returns the details of the command.
func (classSetCmd) Help() string {
	return `Only the given targets change. The change names the version of the class that was read as its base, and is
rejected if someone else changed the class meanwhile.

Examples:

  sassafraswind class set price-check --answer 200ms
  sassafraswind class set fit-assessment --finished 1000 --disruption 0.5

Exit codes: 0 accepted; 1 rejected or bad input; 3 unknown.`
}

// Run sets the targets.
func (c *classSetCmd) Run(s *session) error {
	if c.Answer == nil && c.Finished == nil && c.Disruption == nil {
		return errors.New("at least one of --answer, --finished and --disruption is required")
	}
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	match := func(class config.Class) bool { return class.Name == c.Name }
	old, ok := find(view.Document.Classes, match)
	if !ok {
		return errors.Newf("there is no class %q; new classes are declared with apply", c.Name)
	}
	updated := old
	if c.Answer != nil {
		updated.Target.P99Latency = *c.Answer
	}
	if c.Finished != nil {
		updated.Target.FinishedPerHour = *c.Finished
	}
	if c.Disruption != nil {
		updated.Target.EvictionsPerTaskDay = *c.Disruption
	}
	entity := "class " + c.Name
	base := view.Versions.Classes[c.Name]
	// A view that is not fresh may miss changes, so only the host can tell that there is nothing to change.
	if updated == old && view.Fresh {
		return s.printUnchanged(entity+" has these targets", base, view.Version)
	}
	changes := []entityChange{{
		Change: config.Change{Entity: "class", Name: c.Name, Action: "change"}, Fields: compareFields(old, updated),
	}}
	return s.propose(config.Proposal{BaseVersion: base, Class: &updated}, entity+" has the new targets", changes,
		s.fieldsExplainer(entity, old, func(currentView operator.ConfigView) any {
			current, _ := find(currentView.Document.Classes, match)
			return current
		}))
}

// zoneCmds groups the commands for availability zones.
type zoneCmds struct {
	List zoneListCmd `cmd:"" help:"List zones with their state and versions."`
	Out  zoneOutCmd  `cmd:"" help:"Take a zone out of service: no new batch work starts there, its tasks move to other zones."`
	In   zoneInCmd   `cmd:"" help:"Bring a zone back into service."`
}

// zoneListCmd lists the availability zones.
type zoneListCmd struct{}

// Run lists the zones.
func (zoneListCmd) Run(s *session) error {
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	list := addVersions(view.Zones, view.Versions.Zones, func(z config.Zone) string { return z.Name })
	return s.print(list, func(w *tabwriter.Writer) {
		printRow(w, "ZONE", "REGION", "STATE", "VERSION")
		for _, z := range list {
			printRow(w, z.Value.Name, z.Value.Region, zoneState(z.Value.TakenOut), z.Version)
		}
		printStaleNote(w, view)
	})
}

// zoneState returns "out" for a zone that is out of service, and "in" otherwise.
func zoneState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// zoneHelp begins the help texts of zone out and zone in.
const zoneHelp = `The zone's current version is read and sent as the base of the change. If someone else changed the zone meanwhile,
the change is rejected and the difference printed; it is not sent again.

`

// zoneOutCmd takes a zone out of service.
type zoneOutCmd struct {
	Name string `arg:"" help:"Name of the zone."`
}

// Help returns the details of the command.
func (zoneOutCmd) Help() string {
	return zoneHelp + `No task starts in the zone later than 5 s after the change was accepted. Running tasks checkpoint and move within
60 s.

Example:

  sassafraswind zone out almaty-a

Exit codes: 0 accepted; 1 rejected or bad input; 3 unknown.`
}

// Run takes the zone out of service.
func (c *zoneOutCmd) Run(s *session) error { return s.setZone(c.Name, true) }

// zoneInCmd brings a zone back into service.
type zoneInCmd struct {
	Name string `arg:"" help:"Name of the zone."`
}

// Help returns the details of the command.
func (zoneInCmd) Help() string {
	return zoneHelp + `The zone accepts batch work again, in steps of a tenth of its capacity per second.

Example:

  sassafraswind zone in almaty-a

Exit codes: 0 accepted; 1 rejected or bad input; 3 unknown.`
}

// Run brings the zone back into service.
func (c *zoneInCmd) Run(s *session) error { return s.setZone(c.Name, false) }

// setZone takes a zone out of service, or brings it back into service if out is false.
func (s *session) setZone(name string, out bool) error {
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	match := func(z config.Zone) bool { return z.Name == name }
	old, ok := find(view.Zones, match)
	if !ok {
		return errors.Newf("there is no zone %q", name)
	}
	updated := old
	updated.TakenOut = out
	newState := fmt.Sprintf("zone %s is %s", name, zoneState(out))
	base := view.Versions.Zones[name]
	// A view that is not fresh may miss changes, so only the host can tell that there is nothing to change.
	if updated == old && view.Fresh {
		return s.printUnchanged(newState, base, view.Version)
	}
	return s.propose(config.Proposal{BaseVersion: base, Zone: &updated}, newState, nil,
		s.fieldsExplainer("zone "+name, old, func(currentView operator.ConfigView) any {
			current, _ := find(currentView.Zones, match)
			return current
		}))
}

// teamCmds groups the commands for teams.
type teamCmds struct {
	List teamListCmd `cmd:"" help:"List teams with their quotas and versions."`
	Set  teamSetCmd  `cmd:"" help:"Set the quota of a team."`
}

// teamListCmd lists the teams.
type teamListCmd struct{}

// Run lists the teams.
func (teamListCmd) Run(s *session) error {
	view, err := s.readConfig()
	if err != nil {
		return err
	}
	list := addVersions(view.Document.Teams, view.Versions.Teams, func(t config.Team) string { return t.Name })
	return s.print(list, func(w *tabwriter.Writer) {
		printRow(w, "TEAM", "CORES", "MEMORY (MiB)", "ACCELERATORS", "VERSION")
		for _, t := range list {
			q := t.Value.Quota
			printRow(w, t.Value.Name, float64(q.Cores)/1000, q.Memory, q.Accelerators, t.Version)
		}
		printStaleNote(w, view)
	})
}
