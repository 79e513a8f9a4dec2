package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

type statusCmd struct{}

// Help returns the details of the command.
func (statusCmd) Help() string {
	return `Shows what the first host of --operators that can be reached knows.

Example:

  sassafraswind --operators http://127.0.0.1:18003 status`
}

// Run shows the status.
func (statusCmd) Run(s *session) error {
	var st operator.Status
	if err := s.hosts.get(s.ctx, "/v1/status", &st); err != nil {
		return err
	}
	return s.print(st, func(w *tabwriter.Writer) { printStatus(w, st) })
}

func printStatus(w *tabwriter.Writer, st operator.Status) {
	state := "ready"
	if !st.Ready {
		state = "not ready: " + st.Reason
	}
	if st.Stopping {
		state += ", leaving"
	}
	fresh := "fresh"
	if !st.Config.Fresh {
		fresh = "not fresh, no batch task starts"
	}
	row(w, fmt.Sprintf("host %s, zone %s, region %s: %s", st.Host, st.Zone, st.Region, state))
	row(w, fmt.Sprintf("configuration version %d, %s old (%s)", st.Config.Version, short(st.Config.Age), fresh))
	row(w, fmt.Sprintf("batch tasks: %d pending, %d running", st.Pending, st.Running))

	row(w, "\nCLASS", "KIND", "TARGET", "MEASURED", "MET", "PENDING", "RUNNING", "REASON")
	for _, c := range st.Classes {
		target, measured := fmt.Sprintf("%g/h", c.Target.Finished), fmt.Sprintf("%g/h", c.Finished)
		if c.Kind == config.KindUrgent {
			target, measured = short(c.Target.Answer), short(c.P99)
		}
		met := "yes"
		if !c.Met {
			met = "no"
		}
		row(w, c.Name, c.Kind, target, measured, met, c.Pending, c.Running, orDash(c.Reason))
	}
	row(w, "\nZONE", "REGION", "STATE")
	for _, z := range st.Zones {
		row(w, z.Name, z.Region, inOut(z.TakenOut))
	}
	row(w, "\nPEER", "ZONE", "STATE", "VERSION", "SEEN", "FREE", "HELD")
	for _, p := range st.Peers {
		row(w, p.Host, p.Zone, p.State, p.Version, short(p.SinceLastSync), p.FreeSlots, p.HeldWorkers)
	}
	row(w, "\nWORKER", "FREE", "SLOTS", "RUNNING", "STATE")
	for _, x := range st.Workers {
		row(w, x.Worker, x.FreeSlots, x.Slots, x.Running, orDash(x.State))
	}
	row(w, "\nSTREAM", "POSITION", "AGE", "SKIPPED", "LOST")
	for _, x := range st.Streams {
		row(w, x.Stream, x.Position, short(x.Age), x.Skipped, x.Rejected)
	}
}

// short rounds a duration for people.
func short(m operator.Millis) string {
	d := time.Duration(m)
	if d > time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}
