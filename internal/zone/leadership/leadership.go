// Package leadership decides which host leads a deployment.
//
// A host leads from the moment its claim is in the log until a later claim is: the offset of a claim is its fencing
// token. The leader renews its claim every second in the log and answers the other hosts' pings. A host claims when
// it is certain that the leader is gone, or when the leader neither answers nor renews.
//
// The package is pure: the present time is an argument.
package leadership

import "time"

const (
	// PingInterval is the interval of pings while the leader answers.
	PingInterval = 500 * time.Millisecond
	// pingRetryInterval is the interval after a ping without an answer.
	pingRetryInterval = 100 * time.Millisecond
	// SilenceTimeout is how long the leader may leave pings unanswered before its renewals are looked at. It covers a
	// long pause of the garbage collector, a lost packet and a slow host.
	SilenceTimeout = 900 * time.Millisecond
	// RenewInterval is the interval at which a leader renews its claim.
	RenewInterval = time.Second
	// renewalTimeout is how long renewals may fail to appear while pings are unanswered.
	renewalTimeout = 1300 * time.Millisecond
	// renewalReadInterval is the interval at which the renewals are looked at.
	renewalReadInterval = 650 * time.Millisecond
	// claimRetryInterval is the pause after a claim that failed without a decision.
	claimRetryInterval = 300 * time.Millisecond
)

// Claim is a claim of leadership in the log.
type Claim struct {
	// Offset is where the claim stands. It is below 0 for none.
	Offset int64 `msgpack:"-"`
	Name   string
	// Address is where the host answers other hosts.
	Address string
	// Instance differs with each start of a process.
	Instance string
	// Serial counts the claims from 1.
	Serial int
}

// Token is the fencing token of the claim's term.
func (c Claim) Token() int64 { return c.Offset + 1 }

// Known reports whether there is a claim.
func (c Claim) Known() bool { return c.Offset >= 0 && c.Instance != "" }

// Action is what a host should do next.
type Action int

// The actions.
const (
	// ActionWait means that nothing is due before the returned time.
	ActionWait Action = iota
	// ActionPing means that the leader should be asked whether it is there.
	ActionPing
	// ActionReadRenewal means that the leader's renewals should be read.
	ActionReadRenewal
	// ActionClaim means that this host should claim the leadership.
	ActionClaim
	// ActionLead means that this host leads.
	ActionLead
)

// Elector is a host's view of the leadership. It is not safe for concurrent use.
type Elector struct {
	instance string
	// claimDelay delays this host's claims, so that hosts that are better placed come first.
	claimDelay time.Duration

	observed bool
	claim    Claim
	// answeredAt is when the leader last answered, pingedAt when it was last asked.
	answeredAt, pingedAt time.Time
	// vacantSince is when the leadership became free for certain, the zero time while it is not.
	vacantSince time.Time
	// renewal is the newest renewal seen and renewed when it was first seen.
	renewal       int64
	renewalSeenAt time.Time
	renewalReadAt time.Time
	// predecessorEndedAt and predecessorRenewedAt are what was known of the leader before when the present claim was seen.
	predecessorEndedAt, predecessorRenewedAt time.Time
	claimedAt                                time.Time
	// claimsDisabled is set once this host should not lead any more, yielded until when it leaves the claim to others.
	claimsDisabled bool
	yieldUntil     time.Time
}

// NewElector returns the view of a host that has just started.
func NewElector(instance string) *Elector {
	return &Elector{instance: instance, claim: Claim{Offset: -1}}
}

// SetClaimDelay delays this host's claims.
func (w *Elector) SetClaimDelay(d time.Duration) { w.claimDelay = d }

// DisableClaims keeps this host from claiming, for instance because it is stopping.
func (w *Elector) DisableClaims() { w.claimsDisabled = true }

// Yield leaves the claim to other hosts for a while.
func (w *Elector) Yield(now time.Time, d time.Duration) { w.yieldUntil = now.Add(d) }

// PredecessorEnd returns when the leader before the present one had given its last order at the latest: when it was certain
// to have ended, or else the cut-off after its last renewal was seen for the first time.
func (w *Elector) PredecessorEnd(now time.Time, cutOff time.Duration) time.Time {
	switch {
	case !w.predecessorEndedAt.IsZero():
		return w.predecessorEndedAt
	case w.predecessorRenewedAt.IsZero():
		return now.Add(cutOff)
	}
	return w.predecessorRenewedAt.Add(cutOff)
}

// Claim returns the newest claim that was seen.
func (w *Elector) Claim() Claim { return w.claim }

// IsLeader reports whether this host has the newest claim that was seen.
func (w *Elector) IsLeader() bool {
	return w.claim.Known() && w.claim.Instance == w.instance && w.vacantSince.IsZero()
}

// ObserveClaim takes over a claim from the log. Older ones are ignored. A claim with a negative offset says that the log
// has none.
func (w *Elector) ObserveClaim(now time.Time, c Claim) bool {
	w.observed = true
	if c.Offset < 0 || (w.claim.Known() && c.Offset <= w.claim.Offset) {
		if !w.claim.Known() && w.vacantSince.IsZero() {
			w.vacantSince = now
		}
		return false
	}
	w.predecessorEndedAt, w.predecessorRenewedAt = w.vacantSince, w.renewalSeenAt
	w.claim = c
	w.answeredAt, w.vacantSince = now, time.Time{}
	w.renewal, w.renewalSeenAt, w.renewalReadAt = -1, now, time.Time{}
	return true
}

// RecordPing notes that the leader is being asked.
func (w *Elector) RecordPing(now time.Time) { w.pingedAt = now }

// RecordAnswer notes an answer of the leader.
func (w *Elector) RecordAnswer(now time.Time, instance string) {
	if instance != w.claim.Instance {
		w.RecordLeaderEnd(now, w.claim.Instance)
		return
	}
	w.answeredAt, w.vacantSince = now, time.Time{}
}

// RecordLeaderEnd notes that the process which leads has ended or has given up the leadership.
func (w *Elector) RecordLeaderEnd(now time.Time, instance string) {
	if instance == w.claim.Instance && w.vacantSince.IsZero() {
		w.vacantSince = now
	}
}

// RecordRenewal takes over the newest renewal in the log.
func (w *Elector) RecordRenewal(now time.Time, renewal int64) {
	w.renewalReadAt = now
	if renewal != w.renewal {
		w.renewal, w.renewalSeenAt = renewal, now
	}
}

// RecordClaim notes that this host has sent a claim.
func (w *Elector) RecordClaim(now time.Time) { w.claimedAt = now }

// NextAction returns what to do now, and for ActionWait until when.
func (w *Elector) NextAction(now time.Time) (Action, time.Time) {
	if !w.observed {
		return ActionWait, now.Add(claimRetryInterval)
	}
	if w.IsLeader() {
		return ActionLead, now
	}
	if w.claim.Known() && w.claim.Name != "" && w.vacantSince.IsZero() {
		if action, until := w.checkLeader(now); action != ActionClaim {
			return action, until
		}
	}
	if w.claimsDisabled {
		return ActionWait, now.Add(claimRetryInterval)
	}
	if now.Before(w.yieldUntil) {
		return ActionWait, w.yieldUntil
	}
	start := w.vacantSince
	if start.IsZero() {
		start = w.renewalSeenAt.Add(renewalTimeout)
	}
	due := start.Add(w.claimDelay)
	if again := w.claimedAt.Add(claimRetryInterval + w.claimDelay); !w.claimedAt.IsZero() && due.Before(again) {
		due = again
	}
	if now.Before(due) {
		return ActionWait, due
	}
	return ActionClaim, now
}

// checkLeader returns ActionClaim once the leader neither answers nor renews. Pings of a host without power take long,
// so that a look at the renewals goes before the next ping.
func (w *Elector) checkLeader(now time.Time) (Action, time.Time) {
	silent := now.Sub(w.answeredAt)
	every := PingInterval
	if silent > every+pingRetryInterval {
		every = pingRetryInterval
	}
	ping := w.pingedAt.Add(every)
	if silent >= SilenceTimeout {
		if w.renewal >= 0 && w.renewalReadAt.Sub(w.renewalSeenAt) > renewalTimeout {
			return ActionClaim, now
		}
		look := w.renewalReadAt.Add(renewalReadInterval)
		if !now.Before(look) {
			return ActionReadRenewal, now
		}
		if look.Before(ping) {
			return ActionWait, look
		}
	}
	if !now.Before(ping) {
		return ActionPing, now
	}
	return ActionWait, ping
}
