package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// tenantBody is a tenant of a manifest.
type tenantBody struct {
	Name           string
	APIKeys        []string `json:"ApiKeys"`
	Priority       int
	Weight         float64
	MaxCount       capacityBody
	AllowedRegions []string
}

// Tenants are the tenants of successive manifests, which are DefaultManifest with tenants and an anonymous queue for
// long-running jobs. Their methods may be called from several goroutines.
type Tenants struct {
	mu   sync.Mutex
	rng  *rand.Rand
	list []tenantBody
	// removed holds the keys that were removed, the newest last, and serial numbers all keys.
	removed []string
	serial  int
}

// The bounds of drawn tenants.
const (
	// minQuotaCores and maxQuotaCores bound the quotas, in thousandths of a core.
	minQuotaCores, maxQuotaCores = 8000, 32000
	maxWeight                    = 20
	// keysPerTenant is the number of keys of a tenant. A change removes the oldest.
	keysPerTenant = 2
)

// NewTenants draws n tenants. Each has a quota of cores, and no other limit.
func NewTenants(rng *rand.Rand, n int) *Tenants {
	t := &Tenants{rng: rng}
	for i := range n {
		tenant := tenantBody{
			Name: fmt.Sprintf("tenant-%d", i), Weight: float64(1 + rng.IntN(maxWeight)),
			MaxCount: capacityBody{CPU: minQuotaCores + rng.Int64N(maxQuotaCores-minQuotaCores)},
		}
		for range keysPerTenant {
			tenant.APIKeys = append(tenant.APIKeys, t.newKey(tenant.Name))
		}
		t.list = append(t.list, tenant)
	}
	return t
}

// newKey returns a key that no tenant had before. The caller holds mu, or is the only one.
func (t *Tenants) newKey(tenant string) string {
	t.serial++
	return fmt.Sprintf("%s-key-%d-%08x", tenant, t.serial, t.rng.Uint32())
}

// Change gives one tenant a new key in the place of its oldest, and another weight and quota.
func (t *Tenants) Change() {
	t.mu.Lock()
	defer t.mu.Unlock()
	tenant := &t.list[t.rng.IntN(len(t.list))]
	t.removed = append(t.removed, tenant.APIKeys[0])
	tenant.APIKeys = append(slices.Clone(tenant.APIKeys[1:]), t.newKey(tenant.Name))
	tenant.Weight = float64(1 + t.rng.IntN(maxWeight))
	tenant.MaxCount.CPU = minQuotaCores + t.rng.Int64N(maxQuotaCores-minQuotaCores)
}

// Manifest returns the manifest of a version.
func (t *Tenants) Manifest(version int) ([]byte, error) {
	data, err := DefaultManifest(version)
	if err != nil {
		return nil, err
	}
	var m map[string]any
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "standin: decode default manifest")
	}
	for _, r := range m["Routes"].([]any) {
		fields := r.(map[string]any)
		fields["Anonymous"] = fields["PathPrefix"] == ServingPrefix
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m["Tenants"] = t.list
	return json.Marshal(m)
}

// Key returns the newest key of a tenant, counted from 0 and over again.
func (t *Tenants) Key(tenant int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.list[tenant%len(t.list)].APIKeys
	return keys[len(keys)-1]
}

// DrawKey returns the key of a caller: mostly one of a tenant, and otherwise a removed one, one that no tenant ever has, or
// none.
func (t *Tenants) DrawKey(rng *rand.Rand) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.list[rng.IntN(len(t.list))].APIKeys
	key := keys[rng.IntN(len(keys))]
	switch kind := rng.IntN(10); {
	case kind == 0 && len(t.removed) > 0:
		return t.removed[len(t.removed)-1]
	case kind == 1:
		return "never-" + key
	case kind == 2:
		return ""
	}
	return key
}
