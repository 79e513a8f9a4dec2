package lease

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Msg is an input of Manager.Update.
type Msg interface{ isMsg() }

// TickMsg makes the Manager look for messages that are due. It is expected several times a second.
type TickMsg struct{}

// Worker is a worker of the zone as the host list has it.
type Worker struct {
	ID      string
	Address string
	// Leaving is set while the host list shows the worker as leaving. Status.Leaving is what the worker itself says.
	Leaving bool
}

// WorkersMsg replaces the list of the zone's workers.
type WorkersMsg struct{ Workers []Worker }

// PeersMsg replaces the set of entry hosts of the zone that are live, ready and not stopping, this host included.
type PeersMsg struct{ Hosts []string }

// StatusMsg is the reply to a status or lease request.
type StatusMsg struct {
	Status fleet.Status
	// Sent and Received are when the request was sent and answered, by this host's clock.
	Sent, Received time.Time
	// Seen is LeaseRequest.Seen of the request, 0 for a status request.
	Seen uint64
	// WithoutTasks is set for the reply to StatusCmd, which lists no tasks.
	WithoutTasks bool
}

// RefusedMsg is the reply to a lease request that was refused because another host holds the worker. A status without a
// boot ID only names the worker.
type RefusedMsg struct {
	Status         fleet.Status
	Sent, Received time.Time
}

// FailedMsg reports that a message failed or timed out. The worker may have carried it out nevertheless.
type FailedMsg struct {
	Worker string
	// Refused is set if the worker answered that it will not grant the lease, for example because it restarted after
	// the status from which the request was derived.
	Refused bool
}

// ReleasedMsg reports that the worker confirmed a release.
type ReleasedMsg struct{ Worker string }

// HoldMsg is a hold record of this or another host that was read from the zone's stream.
type HoldMsg struct {
	Worker, Host, Boot string
	Grant              uint64
	// Offset is the offset of the record in the stream.
	Offset uint64
}

// StopMsg starts a planned stop: all workers are released and none is taken.
type StopMsg struct{}

// StaleMsg tells whether task leases must not be renewed: the host's view of the config stream or the zone's stream is
// too old, or the zone has been out of service for longer than its tasks may run on.
type StaleMsg struct{ Stale bool }

func (TickMsg) isMsg()     {}
func (WorkersMsg) isMsg()  {}
func (PeersMsg) isMsg()    {}
func (StatusMsg) isMsg()   {}
func (RefusedMsg) isMsg()  {}
func (FailedMsg) isMsg()   {}
func (ReleasedMsg) isMsg() {}
func (HoldMsg) isMsg()     {}
func (StopMsg) isMsg()     {}
func (StaleMsg) isMsg()    {}

// Command is an effect that the caller carries out after Update.
type Command interface{ isCommand() }

// StatusCmd asks the worker who holds it. The reply lists no tasks: a host that does not hold the worker asks every few
// seconds, and the checkpoints of all tasks would be most of the traffic between the zone's hosts and workers.
type StatusCmd struct{ Worker, Address string }

// LeaseCmd requests or renews the lease of the worker. Request.TaskLeasesUntil is 0 if task leases are to stay as they
// are.
//
//nolint:revive // LeaseCmd is named after the lease message of the worker protocol.
type LeaseCmd struct {
	Worker, Address string
	Request         fleet.LeaseRequest
}

// ReleaseCmd releases the lease of the worker.
type ReleaseCmd struct{ Worker, Address string }

// RecordHoldCmd asks for a hold record in the zone's stream. Task leases are renewed once a HoldMsg shows that the
// record was read back.
type RecordHoldCmd struct {
	Worker, Boot string
	Grant        uint64
	// NextOffset is the offset after the newest hold that was read before the lease was last confirmed, 1 if none was.
	// It lets readers of the record check that no newer hold precedes it.
	NextOffset uint64
}

// ApplyStatusCmd passes on a status that is newer than all earlier ones and names this host as the holder.
type ApplyStatusCmd struct {
	Status fleet.Status
	Sent   time.Time
	// Full is set if Status.Tasks is the complete list.
	Full bool
}

func (StatusCmd) isCommand()      {}
func (LeaseCmd) isCommand()       {}
func (ReleaseCmd) isCommand()     {}
func (RecordHoldCmd) isCommand()  {}
func (ApplyStatusCmd) isCommand() {}
