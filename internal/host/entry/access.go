package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/request/access"
	"sassafraswind.example/sassafraswind/internal/request/route"
)

// newRouting returns the routing of a manifest.
func newRouting(m *Manifest) *Routing {
	r := &Routing{Table: route.NewTable(m.Routes), MaxBody: m.MaxBody, Version: m.Catalog.Version}
	if len(m.Catalog.Teams) > 0 {
		r.Access = access.NewTable(m.Keys)
	}
	return r
}

// supersedes reports whether a manifest is to replace the current one: it is newer, or of the same version while a host of an
// earlier version has left the teams out of the current one. Without its teams, calls need no keys.
func (m *Manifest) supersedes(current *Manifest) bool {
	if current == nil || m.Catalog.Version > current.Catalog.Version {
		return true
	}
	return m.Catalog.Version == current.Catalog.Version && m.IncludesTeams && !current.IncludesTeams
}

// lacksTeams reports whether a host of an earlier version has left out the teams of a manifest that would replace one with
// teams. With it in force, calls would need no keys.
func lacksTeams(current, m *Manifest) bool {
	return current != nil && len(current.Catalog.Teams) > 0 && !m.IncludesTeams
}

// KeyState returns the state by which keys are judged. It has to be read before Routing: a manifest that replaces the other
// in between is newer than what was confirmed.
func (h *Host) KeyState() access.State {
	r := h.routing.Load()
	switch {
	case r == nil:
		// The first manifest may come into force before the caller reads Routing.
		return access.Unconfirmed
	case r.Access == nil:
		return access.Confirmed
	}
	h.mu.Lock()
	now := h.clock.Now()
	state := h.confirmation.State(now, h.cfg.Revocation)
	age := now.Sub(h.confirmation.ConfirmedAt())
	logDue := state != h.loggedKeyState && now.Sub(h.keyStateLoggedAt) >= keyStateLogInterval
	if logDue {
		h.loggedKeyState, h.keyStateLoggedAt = state, now
	}
	h.mu.Unlock()
	if logDue {
		h.logKeyState(state, age)
	}
	return state
}

// keyStateLogInterval is the shortest interval between two lines on the state: a leader whose store refuses some reads only
// loses and regains its confirmation several times a second.
const keyStateLogInterval = time.Second

// logKeyState logs a change of the state by which keys are judged. The age is the time since the last confirmation.
func (h *Host) logKeyState(s access.State, age time.Duration) {
	entry := h.logger("keys").WithField("confirmed_ms_ago", age.Milliseconds())
	switch s {
	case access.Confirmed:
		entry.Info("Manifest confirmed; unknown keys are refused")
	case access.Unconfirmed:
		entry.Warn("Manifest unconfirmed; calls with unknown keys are answered that they may be repeated")
	case access.Expired:
		entry.Warn("Manifest unconfirmed for too long; no key is accepted")
	}
}

// RecordDenied logs and counts a call that was not carried out because of its key.
func (h *Host) RecordDenied(queue string, v access.Verdict) {
	h.recorder.RecordRequest(actionAuthenticate, v.String(), 0)
	h.logger("keys").WithFields(logrus.Fields{"queue": queue, "reason": v.String()}).Debug("Call denied")
}

// actionAuthenticate is the action of denied calls in metrics.
const actionAuthenticate = "authenticate"

// recordOperatorRead records whether a read of the operators' records, sent at the given time, has shown the newest manifest.
func (h *Host) recordOperatorRead(sentAt time.Time, changes OperatorChanges) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.manifestHidden = changes.ManifestHidden || (h.manifestHidden && changes.Manifest == nil)
	switch {
	case h.manifestHidden:
		h.confirmation.RecordReadFailure()
	case !changes.Behind:
		h.confirmation.RecordRead(sentAt)
	}
}

// recordOperatorReadFailure records that the operators' records can't be read.
func (h *Host) recordOperatorReadFailure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmation.RecordReadFailure()
}

// confirmManifest adds to the answer to a ping since when this host's manifest is known to be the newest. h.mu must be held.
func (h *Host) confirmManifest(now time.Time, r *PingResponse) {
	if h.configuration.manifest != nil && h.confirmation.State(now, access.Revocation{}) == access.Confirmed {
		r.ManifestVersion = h.configuration.manifest.Catalog.Version
		r.ManifestAge = now.Sub(h.confirmation.ConfirmedAt())
	}
}

// recordManifestAnswer records what the leader's answer to a ping, sent at the given time, says of the manifest. A manifest
// in the answer must have been applied before.
func (h *Host) recordManifestAnswer(sentAt time.Time, r PingResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.ManifestVersion > 0 && h.configuration.manifest != nil && h.configuration.manifest.Catalog.Version >= r.ManifestVersion {
		h.confirmation.RecordLeader(sentAt.Add(-max(0, r.ManifestAge)))
	}
}
