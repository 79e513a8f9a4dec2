package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

// A leader records its active members with its renewals, and goes on in an outage of the store only on the reports of hosts
// that the record lists. So a host that claims knows from the record whether its predecessor can go on without it, also if
// its process has just started and has never pinged that. Otherwise one of these hosts that follows it tells as much.

// membersKey is the key of the record of active members in the log.
const membersKey = "members"

// recordedMemberAge is the maximum age of a host's last ping when it is recorded as an active member. The leader counts it as
// one for longer, see leadership.MemberTimeout.
const recordedMemberAge = leadership.MemberTimeout / 2

// membersRecord is the record of the active members of a term.
type membersRecord struct {
	// Token is the fencing token of the term.
	Token int64
	// Names are the names of the hosts in order.
	Names []string
}

// encodeMembers encodes the record of the active members of the claim's term. It can't fail for this type.
func encodeMembers(claim leadership.Claim, names []string) []byte {
	data, err := msgpack.Marshal(&membersRecord{Token: claim.Token(), Names: names})
	if err != nil {
		panic(errors.Wrap(err, "entry: encode active members"))
	}
	return data
}

// activeMembers returns the names of the hosts to be recorded as active members, in order.
func (h *Host) activeMembers(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, m := range h.members {
		if m.Name != h.cfg.Name && !m.pingedAt.IsZero() && now.Sub(m.pingedAt) <= recordedMemberAge {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return fitMembersRecord(names, h.cfg.Limits.MaxRecord)
}

// reporters holds the hosts on whose reports a leader may go on in an outage: those that each record lists which may be the
// newest one in the log. Its methods may be called from several goroutines.
type reporters struct {
	mu    sync.Mutex
	names []string
}

// includes reports whether the host is one of the reporters. A nil value has none.
func (r *reporters) includes(name string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.names, name)
}

// narrow removes the hosts that a record doesn't list which is about to be written.
func (r *reporters) narrow(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !slices.Contains(names, name) })
}

// set replaces the hosts by those of a record that is durable.
func (r *reporters) set(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = names
}

// recordedMembers returns the active members of a fenced leader with the claim, of which the log holds these entries. It returns
// false if the leader may go on in an outage on the reports of others.
func recordedMembers(claim leadership.Claim, entries []ledger.Entry) (names []string, ok bool) {
	if !claim.Members {
		return nil, false
	}
	for _, e := range entries {
		var rec membersRecord
		if e.Key != membersKey {
			continue
		}
		if err := msgpack.Unmarshal(e.Value, &rec); err != nil {
			return nil, false
		}
		if rec.Token == claim.Token() {
			return rec.Names, true
		}
	}
	// The leader has recorded nobody.
	return nil, true
}

// needsHost reports whether a leader with the claim, of which the log holds these entries, goes on in an outage only with a
// report of the named host, or not at all. The leader must be fenced.
func needsHost(claim leadership.Claim, entries []ledger.Entry, name string) bool {
	names, ok := recordedMembers(claim, entries)
	return ok && (len(names) == 0 || slices.Contains(names, name))
}

// readPreviousMembers reads the active members of the predecessor, and whether that goes on in an outage only with a report of
// this host. It fails with the error of the store.
func (t *term) readPreviousMembers(ctx context.Context, predecessor leadership.Claim) error {
	n, err := t.host.store.Newest(ctx, renewalPartition, "")
	if err != nil {
		return err
	}
	t.host.mu.Lock()
	defer t.host.mu.Unlock()
	t.previousMembers, _ = recordedMembers(predecessor, n.Entries)
	if needsHost(predecessor, n.Entries, t.host.cfg.Name) {
		t.host.elector.RecordPredecessorNeedsHost(t.claim.Offset)
	}
	return nil
}

// recordFollower notes that the named host follows this leader. If it was an active member of the predecessor, that gets no
// further report from it. Host.mu must be held.
func (t *term) recordFollower(now time.Time, name string) {
	if slices.Contains(t.previousMembers, name) {
		t.followedAt.CompareAndSwap(0, now.UnixNano())
	}
}

// previousOrdersEnd returns the time at which the predecessor certainly gives no more orders because one of its active members
// follows this leader, the zero time if none does yet.
func (t *term) previousOrdersEnd() time.Time {
	at := t.followedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at).Add(t.host.cfg.Limits.MaxUnconfirmedTerm)
}
