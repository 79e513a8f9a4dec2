package entry

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// The names of the methods between hosts.
const (
	methodRequest  = "/sassafraswind.entry/Ask"
	methodPing     = "/sassafraswind.entry/Beat"
	methodAnnounce = "/sassafraswind.entry/Announce"
)

// Action is what a caller asks for.
type Action string

// The actions.
const (
	ActionSubmit Action = "submit"
	ActionShow   Action = "show"
	ActionCancel Action = "cancel"
	ActionCount  Action = "count"
)

// Request is a request of a caller, passed on to the leader.
type Request struct {
	Action Action        `msgpack:"a"`
	Queue  string        `msgpack:"q"`
	ID     string        `msgpack:"i,omitempty"`
	Spec   workflow.Spec `msgpack:"s"`
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration `msgpack:"l"`
}

// Response answers an Ask.
type Response struct {
	// Outcome is 0 if it is unknown whether the request has been carried out.
	Outcome    dispatch.Outcome `msgpack:"o"`
	State      dispatch.State   `msgpack:"s,omitempty"`
	Count      int              `msgpack:"n,omitempty"`
	RetryAfter time.Duration    `msgpack:"r,omitempty"`
	Reason     string           `msgpack:"e,omitempty"`
	// NotLeader is set if the host does not lead and has done nothing.
	NotLeader bool `msgpack:"w,omitempty"`
}

// Ping is a host's ping to the leader.
type Ping struct {
	Name     string `msgpack:"n"`
	Address  string `msgpack:"a"`
	Instance string `msgpack:"i"`
	// StoreAge is how long ago the store answered the host.
	StoreAge        time.Duration `msgpack:"s"`
	ManifestVersion uint64        `msgpack:"v"`
	Power           int64         `msgpack:"p"`
	// OperatorRecordsUnreadable is set while the host can't read the operators' records by itself.
	OperatorRecordsUnreadable bool `msgpack:"b"`
}

// PingResponse answers a Beat.
type PingResponse struct {
	Instance string `msgpack:"i"`
	// Leads is set if the host leads.
	Leads bool `msgpack:"l"`
	// Manifest is the leader's, if it is newer than the asker's.
	Manifest *Manifest `msgpack:"m,omitempty"`
	// ProbeStore asks the host to find out whether the store answers it.
	ProbeStore bool `msgpack:"p,omitempty"`
}

// Announcement tells other hosts of a change of leadership.
type Announcement struct {
	// Claim is the newest claim and Offset where it stands.
	Claim  leadership.Claim `msgpack:"c"`
	Offset int64            `msgpack:"o"`
	// SteppedDown is set if its host has given up the leadership.
	SteppedDown bool `msgpack:"v,omitempty"`
}

// Empty is a message without content.
type Empty struct{}
