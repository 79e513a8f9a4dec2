package access

import "time"

// ConfirmedFor is how long a manifest counts as confirmed after it was known to be the newest. It has to be below the time
// within which a new manifest must be in force (ConfigApplyMs, 4 s), so that no key of a manifest that must be in force is
// called unknown. It covers two successive long polls of the operators' records of 1 s each over a slow link.
const ConfirmedFor = 3 * time.Second

// State is what a host knows of the age of its manifest.
type State int

// States of a manifest.
const (
	// Confirmed means that the manifest was the newest a short time ago.
	Confirmed State = iota
	// Unconfirmed means that a newer manifest may be in force at other hosts.
	Unconfirmed
	// Expired means that the manifest has been unconfirmed for so long that none of its keys is accepted.
	Expired
)

// Revocation decides when the keys of an unconfirmed manifest are no longer accepted. It answers the removal of a key while
// a host is cut off from the operators' records and from the leader, where callers go on to send requests with that key.
type Revocation struct {
	// Strict is set if all keys are refused once the manifest was last confirmed longer than After ago. Otherwise the
	// keys of an unconfirmed manifest are accepted for as long as it is in force.
	Strict bool
	After  time.Duration
}

// Confirmation tracks when a host's manifest was last known to be the newest: by a read of the operators' records, or by an
// answer of the leader. It answers the addition of a key while a host is cut off: callers that have the key already send it
// to this host too, which must not call it unknown. The zero value has confirmed nothing. It is not safe for concurrent use.
type Confirmation struct {
	// readAt and leaderAt are the latest times as of which a read and the leader have shown that the manifest is the newest.
	readAt, leaderAt time.Time
	// unreadable is set while reads fail.
	unreadable bool
}

// RecordRead records a read, sent at the given time, after which the host has the newest manifest.
func (c *Confirmation) RecordRead(sentAt time.Time) { c.readAt, c.unreadable = sentAt, false }

// RecordReadFailure records that the operators' records can't be read, or don't show the newest manifest.
func (c *Confirmation) RecordReadFailure() { c.unreadable = true }

// RecordLeader records that the manifest was the newest at the given time, according to the leader.
func (c *Confirmation) RecordLeader(at time.Time) {
	if at.After(c.leaderAt) {
		c.leaderAt = at
	}
}

// ConfirmedAt returns the latest time at which the manifest is known to have been the newest, the zero time if there is none.
func (c *Confirmation) ConfirmedAt() time.Time {
	if c.leaderAt.After(c.readAt) {
		return c.leaderAt
	}
	return c.readAt
}

// State returns the state of the manifest.
func (c *Confirmation) State(now time.Time, r Revocation) State {
	switch {
	case isRecent(now, c.leaderAt) || (!c.unreadable && isRecent(now, c.readAt)):
		return Confirmed
	case r.Strict && (c.ConfirmedAt().IsZero() || now.Sub(c.ConfirmedAt()) > r.After):
		return Expired
	}
	return Unconfirmed
}

// isRecent reports whether a time is known and within ConfirmedFor.
func isRecent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) <= ConfirmedFor }
