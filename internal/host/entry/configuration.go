package entry

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// configuration is what the operators have set: the manifest and the evacuated zones. It is immutable. A change of either part
// replaces the whole, so that whoever takes a configuration over can't miss a part of it.
type configuration struct {
	// revision counts the changes that this host has seen. A later configuration has a higher one.
	revision uint64
	// manifest is the newest manifest, nil if none is known.
	manifest *Manifest
	// evacuated holds the zones that get no new tasks, all with the value true.
	evacuated map[string]bool
}

// withZones returns the configuration with the changed zones, and with no others if the changes are complete.
func (c configuration) withZones(changes map[string]bool, complete bool) configuration {
	zones := map[string]bool{}
	if !complete {
		maps.Copy(zones, c.evacuated)
	}
	maps.Copy(zones, changes)
	maps.DeleteFunc(zones, func(_ string, evacuated bool) bool { return !evacuated })
	c.evacuated = zones
	return c
}

// withManifest returns the configuration with the manifest, which may be nil, if that supersedes the present one. ignored is set
// if it would do so and a host of an earlier version has left out its teams.
func (c configuration) withManifest(m *Manifest) (next configuration, ignored bool) {
	switch {
	case m == nil || !m.supersedes(c.manifest):
		return c, false
	case lacksTeams(c.manifest, m):
		return c, true
	}
	c.manifest = m
	return c, false
}

// equal reports whether both parts are the same, whatever the revisions are.
func (c configuration) equal(other configuration) bool {
	return c.manifest == other.manifest && maps.Equal(c.evacuated, other.evacuated)
}

// applyOperatorChanges applies the changes that operators have made, as read from the store.
func (h *Host) applyOperatorChanges(changes OperatorChanges) {
	h.updateConfiguration(changes.Manifest, "store", func(c configuration) configuration {
		if !changes.Complete && len(changes.EvacuatedZones) == 0 {
			return c
		}
		return c.withZones(changes.EvacuatedZones, changes.Complete)
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operatorRecordsRead = true
	h.storeAnsweredAt = h.clock.Now()
}

// applyManifest makes a manifest the current one if it supersedes that. The source is for the log only.
func (h *Host) applyManifest(m *Manifest, source string) {
	h.updateConfiguration(m, source, func(c configuration) configuration { return c })
}

// updateConfiguration has the configuration changed by the function, takes the manifest over, which may be nil, and passes the
// result to the term. The source of the manifest is for the log only.
func (h *Host) updateConfiguration(m *Manifest, source string, change func(configuration) configuration) {
	h.mu.Lock()
	former := h.configuration
	next, ignored := change(former).withManifest(m)
	logIgnored := ignored && h.ignoredVersion != m.Catalog.Version
	if ignored {
		h.ignoredVersion = m.Catalog.Version
	}
	changed := !next.equal(former)
	if changed {
		next.revision++
		h.configuration = next
	}
	routing := h.routing.Load()
	if next.manifest != former.manifest {
		routing = newRouting(next.manifest)
		h.routing.Store(routing)
	}
	t := h.term
	h.mu.Unlock()

	log := h.logger("operators")
	if logIgnored {
		log.WithFields(logrus.Fields{"version": m.Catalog.Version, "source": source}).
			Warn("Ignored a manifest without its teams, from a host of an earlier version")
	}
	if !maps.Equal(next.evacuated, former.evacuated) {
		log.WithField("zones", next.evacuated).Info("Evacuated zones changed")
	}
	if next.manifest != former.manifest {
		log.WithFields(logrus.Fields{
			"version": m.Catalog.Version, "routes": len(m.Routes), "teams": len(m.Catalog.Teams), "keys": routing.Access.Len(),
			"source": source,
		}).Info("Manifest in force")
	}
	if changed && t != nil {
		t.applyConfiguration(next)
	}
}
