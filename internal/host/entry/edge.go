package entry

import "sassafraswind.example/sassafraswind/internal/host/edge"

// EdgeLimits returns the limits of the manifest in force for callers' requests. The defaults stand for those that it doesn't
// set, and for all while no manifest is known.
func (h *Host) EdgeLimits() edge.Limits {
	h.mu.Lock()
	m := h.configuration.manifest
	h.mu.Unlock()
	l := edge.DefaultLimits()
	if m == nil {
		return l
	}
	if m.MaxHeader > 0 {
		l.MaxHeaderBytes = m.MaxHeader
	}
	if m.MaxBody > 0 {
		l.MaxBodyBytes = m.MaxBody
	}
	if m.HeaderTimeout > 0 {
		l.HeaderTimeout = m.HeaderTimeout
	}
	if m.IdleTimeout > 0 {
		l.IdleTimeout = m.IdleTimeout
	}
	return l
}
