// Package quota holds the arithmetic of what teams may use: a quota, what is used of it, and the share of a service to which
// a team is entitled. It is pure.
package quota

import "sassafraswind.example/sassafraswind/internal/port/fleet"

// Quota is the most that a team may use at once. The zero value limits nothing.
type Quota struct{ cores, memory, accelerators bound }

// bound is the limit of one dimension.
type bound struct {
	limited bool
	most    int64
}

// New returns a quota that limits all dimensions.
func New(limit fleet.Size) Quota {
	return Quota{bound{true, limit.Cores}, bound{true, limit.Memory}, bound{true, limit.Accelerators}}
}

// NewPartial returns a quota in which a dimension of 0 has no limit.
func NewPartial(limit fleet.Size) Quota {
	return Quota{
		bound{limit.Cores != 0, limit.Cores}, bound{limit.Memory != 0, limit.Memory},
		bound{limit.Accelerators != 0, limit.Accelerators},
	}
}

// Admits reports whether a use is within the quota.
func (q Quota) Admits(use fleet.Size) bool {
	return q.cores.admits(use.Cores) && q.memory.admits(use.Memory) && q.accelerators.admits(use.Accelerators)
}

// Excess returns the largest fraction of its limit by which a use exceeds one, 0 if it exceeds none.
func (q Quota) Excess(use fleet.Size) float64 {
	return max(q.cores.excess(use.Cores), q.memory.excess(use.Memory), q.accelerators.excess(use.Accelerators))
}

// Cores returns the limit of the cores. It returns false if they have none.
func (q Quota) Cores() (int64, bool) { return q.cores.most, q.cores.limited }

func (b bound) admits(use int64) bool { return !b.limited || use <= b.most }

func (b bound) excess(use int64) float64 {
	if b.admits(use) {
		return 0
	}
	return float64(use-b.most) / float64(max(b.most, 1))
}

// Account is a quota and what is used of it. The zero value has no use and no limit.
type Account struct {
	quota Quota
	used  fleet.Size
}

// SetQuota replaces the quota. The use may exceed the new one.
func (a *Account) SetQuota(q Quota) { a.quota = q }

// Quota returns the quota.
func (a *Account) Quota() Quota { return a.quota }

// Used returns the use.
func (a *Account) Used() fleet.Size { return a.used }

// Add adds a size to the use.
func (a *Account) Add(size fleet.Size) { a.used = a.used.Add(size) }

// Remove takes a size from the use.
func (a *Account) Remove(size fleet.Size) { a.used = a.used.Sub(size) }

// Fits reports whether the use with the size is within the quota. It never is while the use alone exceeds it.
func (a *Account) Fits(size fleet.Size) bool { return a.quota.Admits(a.used.Add(size)) }

// Excess returns the largest fraction of its limit by which the use exceeds one, 0 if it exceeds none.
func (a *Account) Excess() float64 { return a.quota.Excess(a.used) }

// Times returns n times a size.
func Times(size fleet.Size, n int) fleet.Size {
	return fleet.Size{
		Cores: size.Cores * int64(n), Memory: size.Memory * int64(n), Accelerators: size.Accelerators * int64(n),
	}
}

// Entitlement returns the share of a service to which a team of the weight is entitled, if the weights of all teams with work
// there, its own included, add up to the total.
func Entitlement(weight, total float64) float64 {
	if total <= weight {
		return 1
	}
	return weight / total
}

// shareTolerance covers the rounding of shares.
const shareTolerance = 1e-9

// Part returns the share of a capacity. The dominant share of a use, the largest of its shares of all dimensions, is at most
// the share if and only if the use fits into the part.
func Part(capacity fleet.Size, share float64) fleet.Size {
	share += shareTolerance
	return fleet.Size{
		Cores: int64(share * float64(capacity.Cores)), Memory: int64(share * float64(capacity.Memory)),
		Accelerators: int64(share * float64(capacity.Accelerators)),
	}
}
