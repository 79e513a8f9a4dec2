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
	var status operator.Status
	if err := s.client.get(s.ctx, "/v1/status", &status); err != nil {
		return err
	}
	return s.print(status, func(w *tabwriter.Writer) { printStatus(w, status) })
}

// printStatus writes the status as tables of classes, zones, peers, workers and streams.
func printStatus(w *tabwriter.Writer, status operator.Status) {
	state := "ready"
	if !status.Ready {
		state = "not ready: " + status.Reason
	}
	if status.Stopping {
		state += ", leaving"
	}
	fresh := "fresh"
	if !status.Config.Fresh {
		fresh = "not fresh, no batch task starts"
	}
	printRow(w, fmt.Sprintf("host %s, zone %s, region %s: %s", status.Host, status.Zone, status.Region, state))
	printRow(w, fmt.Sprintf("configuration version %d, %s old (%s)",
		status.Config.Version, formatDuration(status.Config.Age), fresh))
	printRow(w, fmt.Sprintf("batch tasks: %d pending, %d running", status.Pending, status.Running))

	printRow(w, "\nCLASS", "KIND", "TARGET", "MEASURED", "MET", "PENDING", "RUNNING", "REASON")
	for _, c := range status.Classes {
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
	for _, z := range status.Zones {
		printRow(w, z.Name, z.Region, zoneState(z.TakenOut))
	}
	printRow(w, "\nPEER", "ZONE", "STATE", "VERSION", "SEEN", "FREE", "HELD")
	for _, p := range status.Peers {
		printRow(w, p.Host, p.Zone, p.State, p.Version, formatDuration(p.SinceLastSync), p.FreeSlots, p.HeldWorkers)
	}
	printRow(w, "\nWORKER", "FREE", "SLOTS", "RUNNING", "STATE")
	for _, worker := range status.Workers {
		printRow(w, worker.Worker, worker.FreeSlots, worker.Slots, worker.Running, valueOrDash(worker.State))
	}
	printRow(w, "\nSTREAM", "POSITION", "AGE", "SKIPPED", "LOST")
	for _, stream := range status.Streams {
		printRow(w, stream.Stream, stream.Position, formatDuration(stream.Age), stream.Skipped, stream.Rejected)
	}
}

// formatDuration returns a duration rounded to 10 ms if it exceeds a second, and to 10 µs otherwise.
func formatDuration(millis operator.Millis) string {
	d := time.Duration(millis)
	if d > time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}
