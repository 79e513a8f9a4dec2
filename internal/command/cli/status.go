package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/operator"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// statusCmd shows the state of an entry host.
type statusCmd struct{}

// Help returns the details of the command.
func (statusCmd) Help() string {
	return `Shows the state that the first reachable host of --operators knows.

Example:

  sassafraswind --operators http://127.0.0.1:18003 status`
}

// Run shows the status.
func (statusCmd) Run(s *session) error {
	var st operator.Status
	if err := s.client.get(s.ctx, "/v1/status", &st); err != nil {
		return err
	}
	return s.print(st, func(w *tabwriter.Writer) { printStatus(w, st) })
}

// printStatus writes the status as tables of classes, zones, peers, workers and streams.
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
	printRow(w, fmt.Sprintf("host %s, zone %s, region %s: %s", st.Host, st.Zone, st.Region, state))
	printRow(w, fmt.Sprintf("configuration version %d, %s old (%s)",
		st.Config.Version, formatDuration(st.Config.Age), fresh))
	printRow(w, fmt.Sprintf("batch tasks: %d pending, %d running", st.Pending, st.Running))

	printRow(w, "\nCLASS", "KIND", "TARGET", "MEASURED", "MET", "PENDING", "RUNNING", "REASON")
	for _, c := range st.Classes {
		target, measured := fmt.Sprintf("%g/h", c.Target.FinishedPerHour), fmt.Sprintf("%g/h", c.FinishedPerHour)
		if c.Kind == config.KindUrgent {
			target, measured = formatDuration(c.Target.P99Latency), formatDuration(c.P99Latency)
		}
		met := "yes"
		if !c.MeetsTarget {
			met = "no"
		}
		printRow(w, c.Name, c.Kind, target, measured, met, c.Pending, c.Running, valueOrDash(c.Reason))
	}
	printRow(w, "\nZONE", "REGION", "STATE")
	for _, z := range st.Zones {
		printRow(w, z.Name, z.Region, zoneState(z.TakenOut))
	}
	printRow(w, "\nPEER", "ZONE", "STATE", "VERSION", "SEEN", "FREE", "HELD")
	for _, p := range st.Peers {
		printRow(w, p.Host, p.Zone, p.State, p.Version, formatDuration(p.SinceLastSync), p.FreeSlots, p.HeldWorkers)
	}
	printRow(w, "\nWORKER", "FREE", "SLOTS", "RUNNING", "STATE")
	for _, x := range st.Workers {
		printRow(w, x.Worker, x.FreeSlots, x.Slots, x.Running, valueOrDash(x.State))
	}
	printRow(w, "\nSTREAM", "POSITION", "AGE", "SKIPPED", "LOST")
	for _, x := range st.Streams {
		printRow(w, x.Stream, x.Position, formatDuration(x.Age), x.Skipped, x.Rejected)
	}
}

// formatDuration returns a duration rounded to 10 ms if it exceeds a second, and to 10 µs otherwise.
func formatDuration(m operator.Millis) string {
	d := time.Duration(m)
	if d > time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}
