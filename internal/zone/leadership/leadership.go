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
	// PingEvery is the interval of pings while the leader answers.
	PingEvery = 500 * time.Millisecond
	// pingAgain is the interval after a ping without an answer.
	pingAgain = 100 * time.Millisecond
	// SilenceBound is how long the leader may leave pings unanswered before its renewals are looked at. It covers a
	// long pause of the garbage collector, a lost packet and a slow host.
	SilenceBound = 900 * time.Millisecond
	// RenewEvery is the interval at which a leader renews its claim.
	RenewEvery = time.Second
	// renewalBound is how long renewals may fail to appear while pings are unanswered.
	renewalBound = 1300 * time.Millisecond
	// lookAgain is the interval at which the renewals are looked at.
	lookAgain = 650 * time.Millisecond
	// claimAgain is the pause after a claim that failed without a decision.
	claimAgain = 300 * time.Millisecond
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
	// ActionLook means that the leader's renewals should be read.
	ActionLook
	// ActionClaim means that this host should claim the leadership.
	ActionClaim
	// ActionLead means that this host leads.
	ActionLead
)

// Watch is a host's view of the leadership. It is not safe for concurrent use.
type Watch struct {
	instance string
	// handicap delays this host's claims, so that hosts that are better placed come first.
	handicap time.Duration

	read  bool
	claim Claim
	// heard is when the leader last answered, pinged when it was last asked.
	heard, pinged time.Time
	// vacant is when the leadership became free for certain, the zero time while it is not.
	vacant time.Time
	// renewal is the newest renewal seen and renewed when it was first seen.
	renewal int64
	renewed time.Time
	looked  time.Time
	// ended and lastRenewed are what was known of the leader before when the present claim was seen.
	ended, lastRenewed time.Time
	claimed            time.Time
	// barred is set once this host should not lead any more, yielded until when it leaves the claim to others.
	barred  bool
	yielded time.Time
}

// NewWatch returns the view of a host that has just started.
func NewWatch(instance string) *Watch {
	return &Watch{instance: instance, claim: Claim{Offset: -1}}
}

// SetHandicap delays this host's claims.
func (w *Watch) SetHandicap(d time.Duration) { w.handicap = d }

// Bar keeps this host from claiming, for instance because it is stopping.
func (w *Watch) Bar() { w.barred = true }

// Yield leaves the claim to other hosts for a while.
func (w *Watch) Yield(now time.Time, d time.Duration) { w.yielded = now.Add(d) }

// LastWord returns when the leader before the present one had given its last order at the latest: when it was certain
// to have ended, or else the cut-off after its last renewal was seen for the first time.
func (w *Watch) LastWord(now time.Time, cutOff time.Duration) time.Time {
	switch {
	case !w.ended.IsZero():
		return w.ended
	case w.lastRenewed.IsZero():
		return now.Add(cutOff)
	}
	return w.lastRenewed.Add(cutOff)
}

// Claim returns the newest claim that was seen.
func (w *Watch) Claim() Claim { return w.claim }

// Leads reports whether this host has the newest claim that was seen.
func (w *Watch) Leads() bool {
	return w.claim.Known() && w.claim.Instance == w.instance && w.vacant.IsZero()
}

// Observe takes over a claim from the log. Older ones are ignored. A claim with a negative offset says that the log
// has none.
func (w *Watch) Observe(now time.Time, c Claim) bool {
	w.read = true
	if c.Offset < 0 || (w.claim.Known() && c.Offset <= w.claim.Offset) {
		if !w.claim.Known() && w.vacant.IsZero() {
			w.vacant = now
		}
		return false
	}
	w.ended, w.lastRenewed = w.vacant, w.renewed
	w.claim = c
	w.heard, w.vacant = now, time.Time{}
	w.renewal, w.renewed, w.looked = -1, now, time.Time{}
	return true
}

// Pinged notes that the leader is being asked.
func (w *Watch) Pinged(now time.Time) { w.pinged = now }

// Heard notes an answer of the leader.
func (w *Watch) Heard(now time.Time, instance string) {
	if instance != w.claim.Instance {
		w.Gone(now, w.claim.Instance)
		return
	}
	w.heard, w.vacant = now, time.Time{}
}

// Gone notes that the process which leads has ended or has given up the leadership.
func (w *Watch) Gone(now time.Time, instance string) {
	if instance == w.claim.Instance && w.vacant.IsZero() {
		w.vacant = now
	}
}

// Looked takes over the newest renewal in the log.
func (w *Watch) Looked(now time.Time, renewal int64) {
	w.looked = now
	if renewal != w.renewal {
		w.renewal, w.renewed = renewal, now
	}
}

// Claimed notes that this host has sent a claim.
func (w *Watch) Claimed(now time.Time) { w.claimed = now }

// Next returns what to do now, and for ActionWait until when.
func (w *Watch) Next(now time.Time) (Action, time.Time) {
	if !w.read {
		return ActionWait, now.Add(claimAgain)
	}
	if w.Leads() {
		return ActionLead, now
	}
	if w.claim.Known() && w.claim.Name != "" && w.vacant.IsZero() {
		if action, until := w.watchLeader(now); action != ActionClaim {
			return action, until
		}
	}
	if w.barred {
		return ActionWait, now.Add(claimAgain)
	}
	if now.Before(w.yielded) {
		return ActionWait, w.yielded
	}
	start := w.vacant
	if start.IsZero() {
		start = w.renewed.Add(renewalBound)
	}
	due := start.Add(w.handicap)
	if again := w.claimed.Add(claimAgain + w.handicap); !w.claimed.IsZero() && due.Before(again) {
		due = again
	}
	if now.Before(due) {
		return ActionWait, due
	}
	return ActionClaim, now
}

// watchLeader returns ActionClaim once the leader neither answers nor renews. Pings of a host without power take long,
// so that a look at the renewals goes before the next ping.
func (w *Watch) watchLeader(now time.Time) (Action, time.Time) {
	silent := now.Sub(w.heard)
	every := PingEvery
	if silent > every+pingAgain {
		every = pingAgain
	}
	ping := w.pinged.Add(every)
	if silent >= SilenceBound {
		if w.renewal >= 0 && w.looked.Sub(w.renewed) > renewalBound {
			return ActionClaim, now
		}
		look := w.looked.Add(lookAgain)
		if !now.Before(look) {
			return ActionLook, now
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
