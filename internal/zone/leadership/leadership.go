// Package leadership decides which host leads a deployment.
//
// A host leads from the time its claim is in the log until a later claim is. The offset after a claim is the fencing
// token of its term. The leader renews its claim in the log every RenewInterval and answers pings of the other hosts. A
// host claims the leadership when it is certain that the leader is gone, when it suspects that, or when the leader neither
// answers nor renews.
//
// A suspicion may be wrong: behind a partition, a connection is refused or reset although the leader lives on. It lets a
// host claim early, which is safe since the log fences the former leader. It never says when the former leader gave its
// last order: only certain knowledge and renewals do.
//
// The package makes no calls and reads no clock: the present time is an argument.
package leadership

import "time"

const (
	// PingInterval is the time between pings while the leader answers.
	PingInterval = 400 * time.Millisecond
	// pingRetryInterval is the time until the next ping after one without an answer.
	pingRetryInterval = 100 * time.Millisecond
	// SilenceTimeout is how long the leader may leave pings unanswered before its renewals are read. It covers a long
	// pause of the garbage collector and a lost packet.
	SilenceTimeout = 700 * time.Millisecond
	// RenewInterval is the time between renewals of the leader's claim.
	RenewInterval = 400 * time.Millisecond
	// renewalTimeout is how long the leader's renewals may fail to appear while pings are unanswered: one may be lost,
	// and a slow store may delay the next.
	renewalTimeout = time.Second
	// renewalReadInterval is the time between reads of the renewals.
	renewalReadInterval = 300 * time.Millisecond
	// suspicionTimeout is how long a suspicion lets this host claim before the leader is pinged again.
	suspicionTimeout = 100 * time.Millisecond
	// claimRetryInterval is the pause after a claim that failed without a decision. It is also the time until the next
	// check while the log has not been read for a claim and while claims are disabled.
	claimRetryInterval = 300 * time.Millisecond
)

// A leader may go on for a while although the store does not answer it, as long as it does not answer the active members
// either: the hosts that have pinged the leader lately. A host that claims allows for the orders that the leader may give
// until MaxOutage, unless it has pinged the leader, or the leader's record of its active members lists the host, or nobody.
const (
	// MaxOutage is the longest time for which a leader gives orders without an answer from the store.
	MaxOutage = 30 * time.Second
	// MemberTimeout is how long before a leader's last renewal a host must have pinged it to be an active member.
	MemberTimeout = 10 * time.Second
	// clockMargin is how much longer a host waits than another counts on. It covers clocks of different rates.
	clockMargin = 100 * time.Millisecond
)

// Claim is a claim of the leadership in the log. It is encoded under its Go field names.
type Claim struct {
	// Offset is the offset of the claim in the log. It is negative if there is no claim.
	Offset int64 `msgpack:"-"`
	Name   string
	// Address is the address at which the host answers other hosts.
	Address string
	// Instance identifies the process. It differs with each start.
	Instance string
	// Serial is the number of the claim, counted from 1.
	Serial int
	// Members is set if the term records its active members with its renewals, and goes on in an outage only on the reports
	// of these. Terms of earlier versions don't.
	Members bool
}

// Token returns the fencing token of the claim's term.
func (c Claim) Token() int64 { return c.Offset + 1 }

// Known reports whether there is a claim.
func (c Claim) Known() bool { return c.Offset >= 0 && c.Instance != "" }

// Action is what a host should do next.
type Action int

// These are the actions that NextAction returns.
const (
	// ActionWait means that nothing is due before the returned time.
	ActionWait Action = iota
	// ActionPing means that the leader should be pinged.
	ActionPing
	// ActionReadRenewal means that the leader's newest renewal should be read from the log.
	ActionReadRenewal
	// ActionClaim means that this host should claim the leadership.
	ActionClaim
	// ActionLead means that this host leads.
	ActionLead
)

// Elector decides for one host when to claim the leadership. It is not safe for concurrent use.
type Elector struct {
	instance string
	// claimDelay delays this host's claims, so that hosts that are better placed claim first.
	claimDelay time.Duration

	// claimsRead is set once the log was read for a claim, even if it had none.
	claimsRead bool
	claim      Claim
	// answeredAt is when the leader last answered, or else when its claim was seen. pingedAt is when a leader was last
	// pinged.
	answeredAt, pingedAt time.Time
	// reachedAt is when the newest ping was sent that the leader has answered under the present claim, the zero time if there
	// is none.
	reachedAt time.Time
	// vacantSince is when the leadership certainly became vacant, zero while it is not.
	vacantSince time.Time
	// suspectedSince and suspectedAt are when the leader was first and last suspected to have ended, with no answer in
	// between. Both are zero while it is not suspected.
	suspectedSince, suspectedAt time.Time
	// renewal is the newest renewal that was read, -1 if none was read since the claim was seen. renewalSeenAt is when it
	// was first read, or else when the claim was seen.
	renewal       int64
	renewalSeenAt time.Time
	// renewalReadAt is when the renewals were last read.
	renewalReadAt time.Time
	// predecessor is the claim before the present one. predecessorEndedAt, predecessorRenewedAt, predecessorReachedAt and
	// predecessorRenewal are vacantSince, renewalSeenAt, reachedAt and renewal of its leader, as they were when the present
	// claim was seen.
	predecessor                              Claim
	predecessorEndedAt, predecessorRenewedAt time.Time
	predecessorReachedAt                     time.Time
	predecessorRenewal                       int64
	// predecessorNeedsHost is set if the leader before the present one goes on in an outage with a report of this host only.
	predecessorNeedsHost bool
	// claimedAt is when this host last sent a claim.
	claimedAt time.Time
	// claimsDisabled is set once this host must not claim any more. yieldUntil is until when it leaves the claim to
	// others.
	claimsDisabled bool
	yieldUntil     time.Time
}

// NewElector returns the elector of a process that has just started. The instance identifies that process.
func NewElector(instance string) *Elector {
	return &Elector{instance: instance, claim: Claim{Offset: -1}, predecessor: Claim{Offset: -1}}
}

// SetClaimDelay delays this host's claims by d, so that hosts that are better placed claim first.
func (e *Elector) SetClaimDelay(d time.Duration) { e.claimDelay = d }

// DisableClaims keeps this host from claiming, for instance because it is stopping.
func (e *Elector) DisableClaims() { e.claimsDisabled = true }

// Yield leaves the claim to other hosts for the duration d.
func (e *Elector) Yield(now time.Time, d time.Duration) { e.yieldUntil = now.Add(d) }

// PredecessorEnd returns the time after which the leader before the present one certainly gives no more orders: when it
// was certain to have ended, or else maxUnconfirmedTerm after its last renewal was first seen or reported. The newest
// renewal is that in the log after the leader was fenced, -1 if it is not known, and 0 if the leader has written none. If
// it is not the last that was seen, the leader may have confirmed its term until now. A leader of which this host may not
// have been an active member may go on for MaxOutage, unless RecordPredecessorNeedsHost was called.
func (e *Elector) PredecessorEnd(now time.Time, maxUnconfirmedTerm time.Duration, newestRenewal int64) time.Time {
	if !e.predecessorEndedAt.IsZero() {
		return e.predecessorEndedAt
	}
	renewedAt := e.predecessorRenewedAt
	if renewedAt.IsZero() || newestRenewal <= 0 || newestRenewal != e.predecessorRenewal {
		renewedAt = now
	}
	if !e.predecessorNeedsHost && e.predecessorReachedAt.Before(renewedAt.Add(clockMargin-MemberTimeout)) {
		return renewedAt.Add(MaxOutage + clockMargin)
	}
	return renewedAt.Add(maxUnconfirmedTerm)
}

// RecordPredecessorNeedsHost records that the leader before the claim at the offset goes on in an outage with a report of this
// host only, or not at all, by its newest record of active members. A report counts for less than maxUnconfirmedTerm, and this
// process has seen the leader's claim since it started.
func (e *Elector) RecordPredecessorNeedsHost(offset int64) {
	if offset == e.claim.Offset {
		e.predecessorNeedsHost = true
	}
}

// Claim returns the newest claim that was seen.
func (e *Elector) Claim() Claim { return e.claim }

// Predecessor returns the claim that was the newest one until the present one was seen.
func (e *Elector) Predecessor() Claim { return e.predecessor }

// IsLeader reports whether the newest claim that was seen is that of this host and the host has not given up the
// leadership.
func (e *Elector) IsLeader() bool {
	return e.claim.Known() && e.claim.Instance == e.instance && e.vacantSince.IsZero()
}

// ObserveClaim records a claim that was read from the log, and reports whether it is newer than the ones seen before.
// Older claims are ignored. A claim with a negative offset means that the log has none.
func (e *Elector) ObserveClaim(now time.Time, c Claim) bool {
	e.claimsRead = true
	if c.Offset < 0 || (e.claim.Known() && c.Offset <= e.claim.Offset) {
		if !e.claim.Known() && e.vacantSince.IsZero() {
			e.vacantSince = now
		}
		return false
	}
	e.predecessor = e.claim
	e.predecessorEndedAt, e.predecessorRenewedAt, e.predecessorRenewal = e.vacantSince, e.renewalSeenAt, e.renewal
	e.predecessorReachedAt = e.reachedAt
	e.predecessorNeedsHost = false
	e.claim = c
	e.reachedAt = time.Time{}
	e.answeredAt, e.vacantSince = now, time.Time{}
	e.suspectedSince, e.suspectedAt = time.Time{}, time.Time{}
	e.renewal, e.renewalSeenAt, e.renewalReadAt = -1, now, time.Time{}
	return true
}

// RecordPing records that the leader is being pinged.
func (e *Elector) RecordPing(now time.Time) { e.pingedAt = now }

// RecordAnswer records that the leader with the claim at the offset has answered a message that was sent at the given
// time. An answer under another claim says nothing about the present leader, and neither does one to a message that was
// sent before the leadership became vacant: the leader may have given it up since.
func (e *Elector) RecordAnswer(now, sentAt time.Time, offset int64) {
	if offset != e.claim.Offset || (!e.vacantSince.IsZero() && !sentAt.After(e.vacantSince)) {
		return
	}
	e.answeredAt, e.vacantSince = now, time.Time{}
	if sentAt.After(e.suspectedAt) {
		e.suspectedSince, e.suspectedAt = time.Time{}, time.Time{}
	}
}

// RecordLeaderEnd records that the leader with the claim at the offset has certainly ended: its process has, or it has
// given up the leadership.
func (e *Elector) RecordLeaderEnd(now time.Time, offset int64) {
	if offset == e.claim.Offset && e.vacantSince.IsZero() {
		e.vacantSince = now
	}
}

// RecordRefusal records that no process seems to listen at the address of the leader with the claim at the offset. That is
// a sign of its end if it has answered a ping before. A host that never reached the leader may be cut off from it.
func (e *Elector) RecordRefusal(now time.Time, offset int64) {
	if !e.reachedAt.IsZero() {
		e.RecordSuspicion(now, offset)
	}
}

// RecordSuspicion records that the leader with the claim at the offset has probably ended.
func (e *Elector) RecordSuspicion(now time.Time, offset int64) {
	if offset != e.claim.Offset {
		return
	}
	if e.suspectedSince.IsZero() {
		e.suspectedSince = now
	}
	e.suspectedAt = now
}

// IsSuspected reports whether there are signs that the leader has ended.
func (e *Elector) IsSuspected() bool { return !e.suspectedAt.IsZero() }

// RecordSilence records that the leader has left a ping unanswered, which is no sign that it has ended.
func (e *Elector) RecordSilence() { e.suspectedSince, e.suspectedAt = time.Time{}, time.Time{} }

// RecordPingAnswer records the leader's answer to a ping that was sent at the given time, with its newest renewal, 0 if there
// is none. The leader was alive then, so that a renewal counts as seen at this time.
func (e *Elector) RecordPingAnswer(now, sentAt time.Time, renewal int64) {
	if sentAt.After(e.reachedAt) {
		e.reachedAt = sentAt
	}
	if renewal > 0 {
		e.renewal, e.renewalSeenAt = max(e.renewal, renewal), now
	}
}

// RecordRenewal records the newest renewal that was read from the log.
func (e *Elector) RecordRenewal(now time.Time, renewal int64) {
	e.renewalReadAt = now
	if renewal != e.renewal {
		e.renewal, e.renewalSeenAt = renewal, now
	}
}

// RecordClaim records that this host has sent a claim.
func (e *Elector) RecordClaim(now time.Time) { e.claimedAt = now }

// NextAction returns what to do now, and for ActionWait until when to wait.
func (e *Elector) NextAction(now time.Time) (Action, time.Time) {
	if !e.claimsRead {
		return ActionWait, now.Add(claimRetryInterval)
	}
	if e.IsLeader() {
		return ActionLead, now
	}
	if e.claim.Known() && e.claim.Name != "" && e.vacantSince.IsZero() {
		if action, until := e.checkLeader(now); action != ActionClaim {
			return action, until
		}
	}
	if e.claimsDisabled {
		return ActionWait, now.Add(claimRetryInterval)
	}
	if now.Before(e.yieldUntil) {
		return ActionWait, e.yieldUntil
	}
	start := e.vacantSince
	switch {
	case !start.IsZero():
	case e.IsSuspected():
		start = e.suspectedSince
	default:
		start = e.renewalSeenAt.Add(renewalTimeout)
	}
	due := start.Add(e.claimDelay)
	if retryAt := e.claimedAt.Add(claimRetryInterval + e.claimDelay); !e.claimedAt.IsZero() && due.Before(retryAt) {
		due = retryAt
	}
	if now.Before(due) {
		return ActionWait, due
	}
	return ActionClaim, now
}

// checkLeader returns ActionClaim once the leader neither answers nor renews, or while it is suspected to have ended, and
// otherwise the next ping, read or wait. A suspicion is checked again by a ping before each claim that it leads to. A ping
// to a host that is switched off takes long, so a read of the renewals that is due goes before the next ping.
func (e *Elector) checkLeader(now time.Time) (Action, time.Time) {
	if e.IsSuspected() {
		if !now.Before(e.suspectedAt.Add(suspicionTimeout)) {
			return ActionPing, now
		}
		return ActionClaim, now
	}
	silence := now.Sub(e.answeredAt)
	interval := PingInterval
	if silence > interval+pingRetryInterval {
		interval = pingRetryInterval
	}
	nextPing := e.pingedAt.Add(interval)
	if silence >= SilenceTimeout {
		if e.renewal >= 0 && e.renewalReadAt.Sub(e.renewalSeenAt) > renewalTimeout {
			return ActionClaim, now
		}
		nextRead := e.renewalReadAt.Add(renewalReadInterval)
		if due := e.renewalSeenAt.Add(renewalTimeout + time.Millisecond); e.renewalReadAt.Before(due) && due.Before(nextRead) {
			nextRead = due
		}
		if !now.Before(nextRead) {
			return ActionReadRenewal, now
		}
		if nextRead.Before(nextPing) {
			return ActionWait, nextRead
		}
	}
	if !now.Before(nextPing) {
		return ActionPing, now
	}
	return ActionWait, nextPing
}
