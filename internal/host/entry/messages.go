package entry

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// Names of the RPC methods between entry hosts.
const (
	methodRequest  = "/sassafraswind.entry/Ask"
	methodPing     = "/sassafraswind.entry/Beat"
	methodAnnounce = "/sassafraswind.entry/Announce"
)

// Action is the kind of a caller's request.
type Action string

// Actions of callers.
const (
	ActionSubmit Action = "submit"
	ActionShow   Action = "show"
	ActionCancel Action = "cancel"
	ActionCount  Action = "count"
)

// Request is a caller's request as it is forwarded to the leader.
type Request struct {
	Action Action        `msgpack:"a"`
	Queue  string        `msgpack:"q"`
	ID     string        `msgpack:"i,omitempty"`
	Spec   workflow.Spec `msgpack:"s"`
	// Team is the name of the caller's team. It is empty if the caller has none or, for the other actions than
	// ActionSubmit, if it may see the jobs of all teams.
	Team string `msgpack:"t,omitempty"`
	// ManifestVersion is the version of the manifest in force at the host that has accepted the request, 0 if that host is of
	// an earlier version.
	ManifestVersion uint64 `msgpack:"v,omitempty"`
	// TimeLeft is how much longer the caller waits for the answer.
	TimeLeft time.Duration `msgpack:"l"`
}

// Response is the answer to a Request.
type Response struct {
	// Outcome is 0 if it is unknown whether the request was carried out.
	Outcome    dispatch.Outcome `msgpack:"o"`
	State      dispatch.State   `msgpack:"s,omitempty"`
	Count      int              `msgpack:"n,omitempty"`
	RetryAfter time.Duration    `msgpack:"r,omitempty"`
	Reason     string           `msgpack:"e,omitempty"`
	// NotLeader is set if the host is not the leader and has done nothing.
	NotLeader bool `msgpack:"w,omitempty"`
}

// Ping is the message with which a host checks the leader and reports its own status.
type Ping struct {
	Name     string `msgpack:"n"`
	Address  string `msgpack:"a"`
	Instance string `msgpack:"i"`
	// StoreAge is the time since the store's last answer to the host.
	StoreAge        time.Duration `msgpack:"s"`
	ManifestVersion uint64        `msgpack:"v"`
	Power           int64         `msgpack:"p"`
	// Stamp is the newest PingResponse.Stamp that the sender has got from the leader under its present claim, 0 if there
	// is none.
	Stamp int64 `msgpack:"t,omitempty"`
	// OperatorRecordsUnreadable is set while the host can't read the operators' records from the store, or has found there
	// only an invalid manifest.
	OperatorRecordsUnreadable bool `msgpack:"b"`
}

// PingResponse is the answer to a Ping.
type PingResponse struct {
	Instance string `msgpack:"i"`
	// IsLeader is set if the host leads or may have become the leader.
	IsLeader bool `msgpack:"l"`
	// Renewal is the position of the leader's newest renewal in the log, 0 if there is none.
	Renewal int64 `msgpack:"r,omitempty"`
	// Manifest is the leader's manifest. It is sent if it is newer than the manifest of the pinging host and that host
	// can't read the operators' records.
	Manifest *Manifest `msgpack:"m,omitempty"`
	// Stamp is the time of the answer by the leader's boot clock in nanoseconds. A ping that returns it was sent later.
	Stamp int64 `msgpack:"t,omitempty"`
	// ManifestVersion is the version of the leader's manifest, 0 while that is unconfirmed. ManifestAge is the time since
	// that manifest was known to be the newest.
	ManifestVersion uint64        `msgpack:"v,omitempty"`
	ManifestAge     time.Duration `msgpack:"g,omitempty"`
	// ProbeStore asks the host to check whether the store answers it.
	ProbeStore bool `msgpack:"p,omitempty"`
}

// Announcement informs other hosts of a change of the leader.
type Announcement struct {
	// Claim is the newest claim and Offset its offset in the log.
	Claim  leadership.Claim `msgpack:"c"`
	Offset int64            `msgpack:"o"`
	// SteppedDown is set if the host that made the claim has given up the leadership.
	SteppedDown bool `msgpack:"v,omitempty"`
}

// Empty is a message without content.
type Empty struct{}
