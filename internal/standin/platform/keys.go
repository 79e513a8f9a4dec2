package platform

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// The bounds of the rules on tenants. configApplyTime is one of the settings that Settings writes.
const (
	// configApplyTime is the time after the store's acknowledgement after which a manifest is in force at each host.
	configApplyTime = 4 * time.Second
	// lateOrderTime is how long after a decision its order may be carried out. A quota that has shrunk meanwhile does not
	// count for it.
	lateOrderTime = 12 * time.Second
	// quotaExcess is the factor by which a tenant's use may exceed its quota. One task more is allowed on top.
	quotaExcess = 1.1
)

// keyedCall is what decides whether a call may be carried out: its queue, its key, empty for none, and when it was sent.
type keyedCall struct {
	queue, key string
	sentAt     time.Time
}

// newKeyedCall returns the keyedCall of a request that is about to be sent.
func newKeyedCall(queue string, r *http.Request) keyedCall {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Token ")
	return keyedCall{queue: queue, key: key, sentAt: time.Now()}
}

// manifestTerms is what a version of the manifest says of keys and tenants.
type manifestTerms struct {
	// begunAt is when the manifest was about to be written, ackedAt when the store had acknowledged it.
	begunAt, ackedAt time.Time
	// tenants holds the tenants by their keys, nil if there are none.
	tenants map[string]string
	// anonymous holds the queues that need no key.
	anonymous map[string]bool
	quotas    map[string]fleet.Size
}

// newManifestTerms returns the terms of a manifest that is about to be written.
func newManifestTerms(m *manifestBody, now time.Time) *manifestTerms {
	v := &manifestTerms{begunAt: now, anonymous: map[string]bool{}, quotas: map[string]fleet.Size{}}
	for _, r := range m.Routes {
		v.anonymous[r.Host+r.PathPrefix] = r.Anonymous
	}
	for _, t := range m.Tenants {
		if v.tenants == nil {
			v.tenants = map[string]string{}
		}
		for _, key := range t.APIKeys {
			v.tenants[key] = t.Name
		}
		v.quotas[t.Name] = fleet.Size{Cores: t.MaxCount.CPU, Memory: t.MaxCount.MemMb, Accelerators: t.MaxCount.GPU}
	}
	return v
}

// grants reports whether a host that has the manifest in force, and knows that, carries a call out.
func (v *manifestTerms) grants(c keyedCall) bool {
	_, known := v.tenants[c.key]
	return v.tenants == nil || v.anonymous[c.queue] || known
}

// writeManifest records a manifest before and after fn writes it to the store.
func (r *recorder) writeManifest(m *manifestBody, fn func()) {
	v := newManifestTerms(m, time.Now())
	r.mu.Lock()
	r.manifests = append(r.manifests, v)
	r.hasTenants = r.hasTenants || v.tenants != nil
	r.mu.Unlock()
	fn()
	r.mu.Lock()
	defer r.mu.Unlock()
	v.ackedAt = time.Now()
}

// manifestsInForce returns the manifests that may be in force at a host at some time between the given ones. The caller
// holds mu.
func (r *recorder) manifestsInForce(from, until time.Time) []*manifestTerms {
	var out []*manifestTerms
	for i, v := range r.manifests {
		replaced := false
		for _, later := range r.manifests[i+1:] {
			replaced = replaced || (!later.ackedAt.IsZero() && later.ackedAt.Add(configApplyTime).Before(from))
		}
		if !replaced && !v.begunAt.After(until) {
			out = append(out, v)
		}
	}
	return out
}

// isEverGranted reports whether any manifest so far lets hosts carry a call out. The caller holds mu.
func (r *recorder) isEverGranted(c keyedCall) bool {
	for _, v := range r.manifests {
		if v.grants(c) {
			return true
		}
	}
	return len(r.manifests) == 0
}

// tenantOf returns the tenant that has or had the key, empty if there is none. No key passes from one tenant to another. The
// caller holds mu.
func (r *recorder) tenantOf(key string) string {
	for _, v := range r.manifests {
		if tenant, ok := v.tenants[key]; ok {
			return tenant
		}
	}
	return ""
}

// isAnonymous reports whether a queue was ever anonymous. The caller holds mu.
func (r *recorder) isAnonymous(queue string) bool {
	for _, v := range r.manifests {
		if v.tenants == nil || v.anonymous[queue] {
			return true
		}
	}
	return false
}

// keySent records with which key and to which queue a job is about to be submitted.
func (r *recorder) keySent(id string, c keyedCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok || !r.hasTenants {
		return
	}
	j.calls = append(j.calls, c)
	if j.tenant == "" {
		j.tenant = r.tenantOf(c.key)
	}
}

// mayAct reports whether a call may show or change a job: it does not if its key is unknown or another tenant's than the
// job's.
func (r *recorder) mayAct(id string, c keyedCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.hasTenants || (r.isEverGranted(c) && !r.isForeign(id, c))
}

// isOthersJob reports whether a call has the key of another tenant than the job's.
func (r *recorder) isOthersJob(id string, c keyedCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isForeign(id, c)
}

// isAccepted reports whether a job was accepted.
func (r *recorder) isAccepted(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	return ok && j.accepted
}

// isForeign reports whether a call to a queue that is not anonymous has the key of another tenant than the job's. The caller
// holds mu.
func (r *recorder) isForeign(id string, c keyedCall) bool {
	j, ok := r.jobs[id]
	tenant := r.tenantOf(c.key)
	return ok && j.tenant != "" && tenant != "" && tenant != j.tenant && !r.isAnonymous(c.queue)
}

// checkAnswer checks that the answer to a call fits its key.
func (r *recorder) checkAnswer(id string, c keyedCall, status int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasTenants {
		return
	}
	granted, denied := false, false
	for _, v := range r.manifestsInForce(c.sentAt, now) {
		granted, denied = granted || v.grants(c), denied || !v.grants(c)
	}
	switch status {
	case 0, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusNotFound:
		// These say nothing of the key.
		return
	case http.StatusUnauthorized:
		r.counts.Unauthorized++
		if !denied {
			r.violate(RuleKeys, id, "", "a call was answered 401 that each manifest in force grants", now)
		}
		return
	}
	switch {
	case !r.isEverGranted(c):
		r.violate(RuleKeys, id, "", fmt.Sprintf("a call was answered %d whose key no manifest contained", status), now)
	case !granted && r.calm(now):
		r.violate(RuleKeys, id, "", fmt.Sprintf("a call was answered %d by a manifest that is no longer in force", status), now)
	case r.isForeign(id, c) && outcomeOf(status) == outcomeAccepted:
		r.violate(RuleKeys, id, "", fmt.Sprintf("a job was shown, changed or taken over by another tenant: %d", status), now)
	}
}

// checkTenant checks that a start is one of a job that was sent with a key, and that it does not bring its tenant over its
// quota. The caller holds mu, and the run is among those of its worker.
func (r *recorder) checkTenant(j *jobRecord, task string, step stepBody, l life, now time.Time) {
	if !r.hasTenants || len(j.calls) == 0 {
		return
	}
	granted := false
	for _, c := range j.calls {
		granted = granted || r.isEverGranted(c)
	}
	if !granted {
		r.violate(RuleKeys, task, l.id, "start of a job that was only sent with keys that no manifest contained", now)
	}
	if j.tenant == "" {
		return
	}
	var used, quota fleet.Size
	for _, w := range r.workers {
		for k, s := range w.runs {
			if name, ok := parseTask(k.task); ok && r.jobs[name.job] != nil && r.jobs[name.job].tenant == j.tenant {
				used = used.Add(s.declaredSize())
			}
		}
	}
	// Of the quotas that may count, the largest one is checked, in each dimension by itself.
	for i, v := range r.manifestsInForce(now.Add(-lateOrderTime), now) {
		q, ok := v.quotas[j.tenant]
		if !ok {
			// A tenant that is not in the manifest keeps its quota, which another one names.
			continue
		}
		quota = fleet.Size{
			Cores:        largerLimit(i, quota.Cores, q.Cores),
			Memory:       largerLimit(i, quota.Memory, q.Memory),
			Accelerators: largerLimit(i, quota.Accelerators, q.Accelerators),
		}
	}
	one := step.declaredSize()
	if exceeds(used.Cores, quota.Cores, one.Cores) || exceeds(used.Memory, quota.Memory, one.Memory) ||
		exceeds(used.Accelerators, quota.Accelerators, one.Accelerators) {
		r.violate(RuleQuota, task, l.id, fmt.Sprintf("start brings %s to %v of %v", j.tenant, used, quota), now)
	}
}

// largerLimit returns the larger of two limits, of which 0 means none. The first one has index 0.
func largerLimit(i int, a, b int64) int64 {
	if i > 0 && (a == 0 || b == 0) {
		return 0
	}
	return max(a, b)
}

// exceeds reports whether a use exceeds a limit, of which 0 means none, by more than is allowed.
func exceeds(used, limit, task int64) bool {
	return limit > 0 && float64(used) > quotaExcess*float64(limit)+float64(task)
}
