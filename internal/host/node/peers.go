package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

const (
	// syncPeriod is the time between two rounds of exchanging states with peers.
	syncPeriod = time.Second
	// syncTimeout is the time that a peer has to answer a sync.
	syncTimeout = 800 * time.Millisecond
	// estimatesPeriod is the time between two messages to one peer that carry the policy's estimates, up to 2 KiB each.
	estimatesPeriod = 10 * time.Second
	// peerTimeout is the time without an answer to a sync after which a peer no longer counts as alive.
	peerTimeout = 3500 * time.Millisecond
)

// peerView is what this host knows of another entry host.
type peerView struct {
	address string
	state   peer.State
	// stateAt is when the sync whose answer holds the state was sent. It is zero until the first answer.
	stateAt time.Time
	// unresponsive is set when a message to the peer got no answer, until it answers a sync. It is then chosen last.
	unresponsive bool
	// forwarded is the number of requests that were forwarded to the peer since stateAt and are not answered yet. It is
	// subtracted from the free slots of the state, so that a burst of requests does not go to one peer.
	forwarded int
	// estimatesSentAt is when the estimates of this host's policy were last sent to the peer.
	estimatesSentAt time.Time
}

// peersView holds the other entry hosts, by address, and the addresses of the workers of all zones.
type peersView struct {
	mu    sync.Mutex
	known map[string]*peerView
	// sortedAddresses holds the keys of known, sorted.
	sortedAddresses []string
	// workerAddresses holds the addresses of the listed workers of all zones, by worker.
	workerAddresses map[string]string
	// syncsByZone holds, for each other zone, the number of syncs with it, which selects the next of its peers in turn.
	syncsByZone map[string]int
}

// setListed takes over the entry hosts, and the addresses of all workers, from the host list.
func (p *peersView) setListed(entries []hostlist.Host, self string, workers map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workerAddresses = workers
	listed := map[string]bool{}
	for _, e := range entries {
		if e.ID == self {
			continue
		}
		listed[e.Address] = true
		p.add(e.Address)
		v := p.known[e.Address]
		if v.state.Zone == "" {
			v.state.Host, v.state.Zone, v.state.Region = e.ID, e.Zone, e.Region
		}
	}
	// A peer that is not listed but has answered within the last minute is kept, since the host list may lag behind. So
	// is one that never answered.
	for a, v := range p.known {
		if !listed[a] && time.Since(v.stateAt) > time.Minute && !v.stateAt.IsZero() {
			delete(p.known, a)
			p.sortedAddresses = slices.DeleteFunc(p.sortedAddresses, func(o string) bool { return o == a })
		}
	}
}

// add adds a peer by its address if it is not known yet. The caller holds mu.
func (p *peersView) add(address string) {
	if p.known[address] == nil {
		p.known[address] = &peerView{address: address}
		p.sortedAddresses = append(p.sortedAddresses, address)
		slices.Sort(p.sortedAddresses)
	}
}

// workerAddress returns the address of a worker of any zone, empty if it is not listed.
func (p *peersView) workerAddress(worker string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workerAddresses[worker]
}

// workerCount returns the number of listed workers of all zones.
func (p *peersView) workerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.workerAddresses)
}

// setState stores the state with which a peer answered the sync sent at sentAt, unless a newer one is stored.
func (p *peersView) setState(address string, s peer.State, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.known[address]
	if v == nil || sentAt.Before(v.stateAt) {
		return
	}
	v.state, v.stateAt, v.forwarded, v.unresponsive = s, sentAt, 0, false
}

// markWithoutSlots records that a peer has no free slot, until it answers a sync.
func (p *peersView) markWithoutSlots(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.known[address]; v != nil {
		v.state.FreeSlots = 0
	}
}

// markUnresponsive records that a message to a peer got no answer.
func (p *peersView) markUnresponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.known[address]; v != nil {
		v.unresponsive = true
	}
}

// hostsInZone returns the IDs, sorted, of this host and of the other hosts of the zone that are alive and not stopping.
func (p *peersView) hostsInZone(now time.Time, host, zone string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []string{host}
	for _, v := range p.known {
		if v.state.Zone == zone && v.state.Host != host && v.alive(now) && !v.state.Stopping {
			hosts = append(hosts, v.state.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// alive reports whether the peer has answered a sync that was sent less than peerTimeout ago.
func (v *peerView) alive(now time.Time) bool {
	return !v.stateAt.IsZero() && now.Sub(v.stateAt) < peerTimeout
}

// syncTargets returns the addresses of the peers to sync with now: all peers of the own zone or of an unknown one, and
// one peer of each other zone in turn, so that the number of messages grows with the number of zones rather than of all
// hosts. With all set it returns every peer.
func (p *peersView) syncTargets(zone string, all bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if all {
		return slices.Clone(p.sortedAddresses)
	}
	if p.syncsByZone == nil {
		p.syncsByZone = map[string]int{}
	}
	var out []string
	others := map[string][]string{}
	for _, a := range p.sortedAddresses {
		v := p.known[a]
		if v.state.Zone == zone || v.state.Zone == "" {
			out = append(out, a)
			continue
		}
		others[v.state.Zone] = append(others[v.state.Zone], a)
	}
	for z, addresses := range others {
		out = append(out, addresses[p.syncsByZone[z]%len(addresses)])
		p.syncsByZone[z]++
	}
	return out
}

// pickPeer returns the address of the peer to forward a request to, or an empty string if no ready peer has a free
// slot. It prefers the own zone, then the own region, then other regions; zones that were taken out come last. Peers of
// the same preference are compared by their free slots, and unresponsive peers come after all others. With
// onlyOtherZones set, it considers only other zones that are in service.
func (n *Node) pickPeer(now time.Time, onlyOtherZones bool) string {
	takenOut := n.zonesTakenOut()
	p := &n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *peerView
	bestRank := 0
	for _, a := range p.sortedAddresses {
		v := p.known[a]
		free := v.state.FreeSlots - v.forwarded
		// Only one peer of each other zone is synced with in a round, so their states may be older than peerTimeout.
		if now.Sub(v.stateAt) > 10*syncPeriod || v.stateAt.IsZero() || !v.state.Ready || v.state.Stopping || free <= 0 {
			continue
		}
		if onlyOtherZones && (v.state.Zone == n.cfg.Zone || takenOut[v.state.Zone]) {
			continue
		}
		rank := 1
		switch {
		case takenOut[v.state.Zone]:
		case v.state.Zone == n.cfg.Zone:
			rank = 4
		case v.state.Region == n.cfg.Region:
			rank = 3
		default:
			rank = 2
		}
		if v.unresponsive {
			rank -= 10
		}
		if best == nil || rank > bestRank || rank == bestRank && free > best.state.FreeSlots-best.forwarded {
			best, bestRank = v, rank
		}
	}
	if best == nil {
		return ""
	}
	return best.address
}

// countForwarded counts a request as forwarded to a peer and not answered until the returned function is called.
func (p *peersView) countForwarded(address string) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.known[address]; v != nil {
		v.forwarded++
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		// A sync may have reset the count in the meantime.
		if v := p.known[address]; v != nil && v.forwarded > 0 {
			v.forwarded--
		}
	}
}

// zonesTakenOut returns the set of zones that operators have taken out of service.
func (n *Node) zonesTakenOut() map[string]bool {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	out := map[string]bool{}
	for _, z := range n.config.state.Zones() {
		if z.Value.TakenOut {
			out[z.Value.Name] = true
		}
	}
	return out
}

// peersInZone returns the addresses of the peers in a zone: responsive ones first, then by free slots, most first.
func (n *Node) peersInZone(zone string, now time.Time) []string {
	p := &n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var views []*peerView
	for _, a := range p.sortedAddresses {
		v := p.known[a]
		if v.state.Zone == zone && !v.state.Stopping && (v.stateAt.IsZero() || now.Sub(v.stateAt) < time.Minute) {
			views = append(views, v)
		}
	}
	slices.SortStableFunc(views, func(a, b *peerView) int {
		if a.unresponsive != b.unresponsive {
			if a.unresponsive {
				return 1
			}
			return -1
		}
		return b.state.FreeSlots - a.state.FreeSlots
	})
	out := make([]string, 0, len(views))
	for _, v := range views {
		out = append(out, v.address)
	}
	return out
}

// syncPeers exchanges states with the peers that are due and waits for their answers.
func (n *Node) syncPeers(now time.Time) {
	hostListTried := n.hostListTried.Load()
	n.peers.mu.Lock()
	for _, a := range n.cfg.Peers.Seeds {
		if a != n.cfg.Peers.Advertise {
			n.peers.add(a)
		}
	}
	n.peers.mu.Unlock()
	var wg sync.WaitGroup
	// Until every known peer has been asked, a peer may have a newer configuration than this host.
	n.config.mu.Lock()
	syncAll := !n.config.peersAsked
	n.config.mu.Unlock()
	for _, a := range n.peers.syncTargets(n.cfg.Zone, syncAll) {
		wg.Go(func() { n.syncPeer(now, a) })
	}
	wg.Wait()
	n.config.mu.Lock()
	// A round that began before the host list was read or failed to be read may have left out peers with a newer
	// configuration.
	n.config.peersAsked = n.config.peersAsked || hostListTried
	n.config.mu.Unlock()
}

// syncPeer exchanges states with one peer and adopts the peer's configuration if it is newer.
func (n *Node) syncPeer(now time.Time, address string) {
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	sentAt := time.Now()
	req := peer.SyncRequest{State: n.localState(now)}
	if n.peers.claimEstimatesSend(address, now) {
		n.zone.mu.Lock()
		estimates := n.zone.policy.LocalEstimates(now)
		n.zone.mu.Unlock()
		req.Estimates = &estimates
	}
	rep, err := n.peerClient.Sync(ctx, address, req)
	if err != nil {
		n.log.WithError(err).Debug("Peer did not answer a sync; its last known state is kept.")
		return
	}
	n.peers.setState(address, rep.State, sentAt)
	n.adoptConfig(rep, sentAt)
}

// claimEstimatesSend reports whether it is time to send this host's estimates to the peer. If so, it records that they
// were sent now.
func (p *peersView) claimEstimatesSend(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.known[address]
	if v == nil || now.Sub(v.estimatesSentAt) < estimatesPeriod {
		return false
	}
	v.estimatesSentAt = now
	return true
}

// adoptConfig takes over the configuration in a peer's answer if it is newer. If this host then has the peer's version,
// the version was known to be the newest at the time the sync was sent less the age that the peer reported; computed
// so, the clocks of two hosts are not compared.
func (n *Node) adoptConfig(rep peer.SyncReply, sentAt time.Time) {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	if len(rep.Config) > 0 {
		if err := n.config.state.Adopt(rep.Config, rep.State.Version); err != nil {
			n.log.WithError(err).Debug("Did not adopt the configuration that a peer relayed.")
		}
	}
	if rep.State.Age < 0 || rep.State.Version != n.config.state.Version() {
		return
	}
	if at := sentAt.Add(-rep.State.Age); at.After(n.config.relayedAt) {
		n.config.relayedAt = at
	}
}

// localState returns the state of this host that it sends to peers.
func (n *Node) localState(now time.Time) peer.State {
	freshAt := n.configFreshAt()
	age := time.Duration(-1)
	if !freshAt.IsZero() {
		age = now.Sub(freshAt)
	}
	ready, _ := n.Ready(now)
	n.config.mu.Lock()
	version := n.config.state.Version()
	n.config.mu.Unlock()
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return peer.State{
		Host: n.cfg.Host, Zone: n.cfg.Zone, Region: n.cfg.Region, Version: version, Age: age,
		FreeSlots: n.zone.capacity.FreeSlots(), HeldWorkers: len(n.zone.leases.HeldWorkers(now)),
		TaskCapacities: n.heldTaskCapacities(now), Ready: ready, Stopping: n.stopping.Load(),
	}
}

// maxTaskCapacities is the largest number of distinct capacities for tasks that a host sends to its peers.
const maxTaskCapacities = 8

// heldTaskCapacities returns up to maxTaskCapacities distinct capacities for tasks of the held workers. The caller
// holds zone.mu.
func (n *Node) heldTaskCapacities(now time.Time) []fleet.Size {
	var out []fleet.Size
	for _, id := range n.zone.leases.HeldWorkers(now) {
		if s := n.zone.capacity.TaskCapacity(id); len(out) < maxTaskCapacities && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// taskCapacitiesByZone returns, by zone, the capacities for tasks that the other hosts reported within the last minute.
func (p *peersView) taskCapacitiesByZone(now time.Time) map[string][]fleet.Size {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]fleet.Size{}
	for _, v := range p.known {
		if !v.stateAt.IsZero() && now.Sub(v.stateAt) < time.Minute {
			out[v.state.Zone] = append(out[v.state.Zone], v.state.TaskCapacities...)
		}
	}
	return out
}

// Sync answers the sync of a peer with the state of this host, and with its configuration if that is newer than the
// peer's. It returns an error if the configuration cannot be encoded.
func (n *Node) Sync(_ context.Context, r peer.SyncRequest) (peer.SyncReply, error) {
	now := time.Now()
	if r.Estimates != nil {
		// The clocks of two hosts are not compared: a peer's estimates are dated with their arrival here.
		r.Estimates.At = now
		n.zone.mu.Lock()
		n.zone.policy.Update(now, policy.RemoteEstimatesMsg{Host: r.State.Host, Estimates: *r.Estimates})
		n.zone.mu.Unlock()
	}
	// The age is read before the configuration, so that the configuration can only be newer than the age says.
	rep := peer.SyncReply{State: n.localState(now)}
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	data, version, err := n.config.state.ExportSince(r.State.Version)
	if err != nil {
		return rep, err
	}
	rep.Config, rep.State.Version = data, max(version, rep.State.Version)
	return rep, nil
}
