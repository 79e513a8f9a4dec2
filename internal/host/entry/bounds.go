package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// A host keeps some of what other hosts send: who pings it, and the IDs of cancelled jobs. The address for other hosts is open to
// every process that reaches it, so that what is kept is bounded here.

const (
	// maxNameBytes is the largest size of a host's name, address or instance and of a job's ID in a message.
	maxNameBytes = 256
	// maxQueueBytes is the largest size of the name of a queue or a team, which operators choose.
	maxQueueBytes = 4096
	// maxMembers is the largest number of other hosts that are kept.
	maxMembers = 2048
	// membersFullLogInterval is the shortest time between two log lines about hosts that are not kept.
	membersFullLogInterval = 10 * time.Second
)

// errTooLong is the error of a message with a name that no host sends.
var errTooLong = errors.Mark(errors.New("entry: a name in the message is too long"), peer.ErrMalformed)

// validate returns an error for a ping that no host sends.
func (p *Ping) validate() error { return checkLengths(maxNameBytes, p.Name, p.Address, p.Instance) }

// validate returns an error for a request that no host forwards. It doesn't check the specification.
func (r *Request) validate() error {
	return errors.CombineErrors(checkLengths(maxNameBytes, r.ID), checkLengths(maxQueueBytes, r.Queue, r.Team))
}

// validate returns an error for an announcement that no host sends.
func (a *Announcement) validate() error {
	return checkLengths(maxNameBytes, a.Claim.Name, a.Claim.Address, a.Claim.Instance)
}

// checkLengths returns an error if one of the texts has over n bytes.
func checkLengths(n int, texts ...string) error {
	for _, text := range texts {
		if len(text) > n {
			return errTooLong
		}
	}
	return nil
}

// keepMember keeps what another host has reported in its ping. If there are too many, it forgets those that are silent, and
// if there are none, the new one is not kept: its pings are answered nevertheless. The lock is held.
func (h *Host) keepMember(now time.Time, m member) {
	if _, ok := h.members[m.Name]; !ok && len(h.members) >= maxMembers {
		for name, other := range h.members {
			if now.Sub(other.pingedAt) > leadership.MemberTimeout {
				delete(h.members, name)
			}
		}
		if len(h.members) >= maxMembers {
			if now.Sub(h.membersFullLoggedAt) >= membersFullLogInterval {
				h.membersFullLoggedAt = now
				h.logger("peers").WithField("host", m.Name).Warn("Too many hosts have pinged this one; further ones are not kept")
			}
			return
		}
	}
	h.members[m.Name] = m
}

// fitMembersRecord returns the first of the names, as many as fit into half of a record of the log, which maxRecord bounds; 0
// means no limit. The log refuses a longer record, with which the leader would lose its term. In an outage of the store it
// has to go on without the reports of the others.
func fitMembersRecord(names []string, maxRecord int) []string {
	if maxRecord == 0 {
		return names
	}
	size := 0
	for i, name := range names {
		// The encoding puts up to three bytes before a name.
		if size += len(name) + 3; size > maxRecord/2 {
			return names[:i]
		}
	}
	return names
}
