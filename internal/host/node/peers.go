package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/port/roster"
	"sassafraswind.example/sassafraswind/internal/zone/policy"
)

const (
	syncPeriod  = time.Second
	syncTimeout = 800 * time.Millisecond
	// teachPeriod is the time between two messages to one peer of what the policy has learned, up to 2 KiB each.
	teachPeriod = 10 * time.Second
	// peerSilent is how long a peer may be silent before it counts as dead.
	peerSilent = 3500 * time.Millisecond
)

// peerView is what the node knows of another entry host.
type peerView struct {
	address string
	state   peer.State
	// heard is when the sync that brought the state was sent.
	heard time.Time
	// silent is set when a message got no answer, until the peer is heard of again. It is asked last.
	silent bool
	// taken counts the requests passed on since then and not answered yet, so that a burst does not go to one peer.
	taken int
	// taught is when the peer was last sent what this host's policy has learned.
	taught time.Time
}

// peersView has the other entry hosts, by address, and the workers of all zones.
type peersView struct {
	mu    sync.Mutex
	known map[string]*peerView
	// order has the keys of known, sorted.
	order []string
	// listed has the addresses of the workers of all zones.
	listed map[string]string
	// next is the turn of each other zone in addresses.
	next map[string]int
}

// list takes over the entry hosts, and the addresses of all workers, of the host list.
func (p *peersView) list(entries []roster.Host, self string, workers map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = workers
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
	// An unlisted peer that still answers stays: the list lags.
	for a, v := range p.known {
		if !listed[a] && time.Since(v.heard) > time.Minute && !v.heard.IsZero() {
			delete(p.known, a)
			p.order = slices.DeleteFunc(p.order, func(o string) bool { return o == a })
		}
	}
}

// add makes the address known, with mu held.
func (p *peersView) add(address string) {
	if p.known[address] == nil {
		p.known[address] = &peerView{address: address}
		p.order = append(p.order, address)
		slices.Sort(p.order)
	}
}

// address returns the address of a worker of any zone, empty if it is not listed.
func (p *peersView) address(worker string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed[worker]
}

// workers returns the number of listed workers of all zones.
func (p *peersView) workers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.listed)
}

// heard keeps the state of a peer.
func (p *peersView) heard(address string, s peer.State, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.known[address]
	if v == nil || sent.Before(v.heard) {
		return
	}
	v.state, v.heard, v.taken, v.silent = s, sent, 0, false
}

// unanswered notes that a message to a peer got no answer.
func (p *peersView) unanswered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.known[address]; v != nil {
		v.silent = true
	}
}

// ofZone returns this host and the other live, not leaving hosts of the zone, sorted.
func (p *peersView) ofZone(now time.Time, host, zone string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []string{host}
	for _, v := range p.known {
		if v.state.Zone == zone && v.state.Host != host && v.alive(now) && !v.state.Leaving {
			hosts = append(hosts, v.state.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func (v *peerView) alive(now time.Time) bool {
	return !v.heard.IsZero() && now.Sub(v.heard) < peerSilent
}

// addresses returns the peers to sync with now: all of the own zone, and one of each other zone in turn, so that the
// messages of a host grow with the zones and not with all hosts. With all set it returns every peer.
func (p *peersView) addresses(zone string, all bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if all {
		return slices.Clone(p.order)
	}
	if p.next == nil {
		p.next = map[string]int{}
	}
	var out []string
	others := map[string][]string{}
	for _, a := range p.order {
		v := p.known[a]
		if v.state.Zone == zone || v.state.Zone == "" {
			out = append(out, a)
			continue
		}
		others[v.state.Zone] = append(others[v.state.Zone], a)
	}
	for z, as := range others {
		out = append(out, as[p.next[z]%len(as)])
		p.next[z]++
	}
	return out
}

// pickPeer returns the address of the peer to pass a request on to: one with free slots, of the same zone first, then of
// the same region, then any; empty if there is none. Zones that were taken out come last. With elsewhere set, only
// other zones that are in count.
func (n *Node) pickPeer(now time.Time, elsewhere bool) string {
	out := n.zonesOut()
	p := &n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *peerView
	rank := 0
	for _, a := range p.order {
		v := p.known[a]
		free := v.state.Free - v.taken
		// Peers of other zones are heard of in turn, so that their state may be older.
		if now.Sub(v.heard) > 10*syncPeriod || v.heard.IsZero() || !v.state.Ready || v.state.Leaving || free <= 0 {
			continue
		}
		if elsewhere && (v.state.Zone == n.cfg.Zone || out[v.state.Zone]) {
			continue
		}
		r := 1
		switch {
		case out[v.state.Zone]:
		case v.state.Zone == n.cfg.Zone:
			r = 4
		case v.state.Region == n.cfg.Region:
			r = 3
		default:
			r = 2
		}
		if v.silent {
			r -= 10
		}
		if best == nil || r > rank || r == rank && free > best.state.Free-best.taken {
			best, rank = v, r
		}
	}
	if best == nil {
		return ""
	}
	return best.address
}

// take counts a request that is passed on to a peer until the returned function is called.
func (p *peersView) take(address string) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.known[address]; v != nil {
		v.taken++
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		// The count may have been reset by a sync in the meantime.
		if v := p.known[address]; v != nil && v.taken > 0 {
			v.taken--
		}
	}
}

// zonesOut returns the zones that operators have taken out.
func (n *Node) zonesOut() map[string]bool {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	out := map[string]bool{}
	for _, z := range n.config.state.Zones() {
		if z.Value.Out {
			out[z.Value.Name] = true
		}
	}
	return out
}

// peerIn returns the addresses of peers in a zone, those that answer and have free slots first.
func (n *Node) peerIn(zone string, now time.Time) []string {
	p := &n.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	var vs []*peerView
	for _, a := range p.order {
		v := p.known[a]
		if v.state.Zone == zone && !v.state.Leaving && (v.heard.IsZero() || now.Sub(v.heard) < time.Minute) {
			vs = append(vs, v)
		}
	}
	slices.SortStableFunc(vs, func(a, b *peerView) int {
		if a.silent != b.silent {
			if a.silent {
				return 1
			}
			return -1
		}
		return b.state.Free - a.state.Free
	})
	out := make([]string, 0, len(vs))
	for _, v := range vs {
		out = append(out, v.address)
	}
	return out
}

// syncPeers exchanges states with peers.
func (n *Node) syncPeers(now time.Time) {
	listed := n.listRead.Load()
	n.peers.mu.Lock()
	for _, a := range n.cfg.Peers.Seeds {
		if a != n.cfg.Peers.Advertise {
			n.peers.add(a)
		}
	}
	n.peers.mu.Unlock()
	var wg sync.WaitGroup
	// Until every known peer was asked, this host cannot say that its configuration is the newest it could learn of.
	n.config.mu.Lock()
	first := !n.config.asked
	n.config.mu.Unlock()
	for _, a := range n.peers.addresses(n.cfg.Zone, first) {
		wg.Go(func() { n.syncPeer(now, a) })
	}
	wg.Wait()
	n.config.mu.Lock()
	// A round that began before the host list was tried may have left out peers with a newer configuration.
	n.config.asked = n.config.asked || listed
	n.config.mu.Unlock()
}

// syncPeer exchanges states with one peer and adopts its configuration if it is newer.
func (n *Node) syncPeer(now time.Time, address string) {
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	sent := time.Now()
	m := peer.Sync{State: n.state(now)}
	if n.peers.teach(address, now) {
		n.zone.mu.Lock()
		learned := n.zone.policy.LocalEstimates(now)
		n.zone.mu.Unlock()
		m.Learned = &learned
	}
	rep, err := n.peer.Sync(ctx, address, m)
	if err != nil {
		n.log.WithError(err).Debug("Peer did not answer a sync.")
		return
	}
	n.peers.heard(address, rep.State, sent)
	n.adopt(rep, sent)
}

// teach reports whether the peer is to be sent what this host has learned, and notes that it was.
func (p *peersView) teach(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.known[address]
	if v == nil || now.Sub(v.taught) < teachPeriod {
		return false
	}
	v.taught = now
	return true
}

// adopt takes over a newer configuration of a peer. The view then dates from the send time less the age that the peer
// reported, so that no clocks of two hosts are compared.
func (n *Node) adopt(rep peer.SyncReply, sent time.Time) {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	if len(rep.Config) > 0 {
		if err := n.config.state.Adopt(rep.Config, rep.State.Version); err != nil {
			n.log.WithError(err).Debug("Relayed configuration was not newer.")
		}
	}
	if rep.State.Age < 0 || rep.State.Version != n.config.state.Version() {
		return
	}
	if at := sent.Add(-rep.State.Age); at.After(n.config.relayed) {
		n.config.relayed = at
	}
}

// state returns what this host tells peers.
func (n *Node) state(now time.Time) peer.State {
	fresh := n.configFresh()
	age := time.Duration(-1)
	if !fresh.IsZero() {
		age = now.Sub(fresh)
	}
	ready, _ := n.Ready(now)
	n.config.mu.Lock()
	version := n.config.state.Version()
	n.config.mu.Unlock()
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return peer.State{
		Host: n.cfg.Host, Zone: n.cfg.Zone, Region: n.cfg.Region, Version: version, Age: age,
		Free: n.zone.capacity.FreeSlots(), Held: len(n.zone.holdings.HeldWorkers(now)),
		Shapes: n.shapes(now), Ready: ready, Leaving: n.leaving.Load(),
	}
}

// maxShapes bounds the capacities that a host tells its peers.
const maxShapes = 8

// shapes returns the distinct capacities for tasks of the held workers, with zone.mu held.
func (n *Node) shapes(now time.Time) []fleet.Size {
	var out []fleet.Size
	for _, id := range n.zone.holdings.HeldWorkers(now) {
		if s := n.zone.capacity.TaskCapacity(id); len(out) < maxShapes && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// shapesOf returns the capacities that the live hosts of each other zone, and the other hosts of this one, hold.
func (p *peersView) shapesOf(now time.Time) map[string][]fleet.Size {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]fleet.Size{}
	for _, v := range p.known {
		if !v.heard.IsZero() && now.Sub(v.heard) < time.Minute {
			out[v.state.Zone] = append(out[v.state.Zone], v.state.Shapes...)
		}
	}
	return out
}

// Sync answers a peer.
func (n *Node) Sync(_ context.Context, r peer.Sync) (peer.SyncReply, error) {
	now := time.Now()
	if r.Learned != nil {
		// The clocks of two hosts are not compared: what a peer sends dates from its arrival here.
		r.Learned.At = now
		n.zone.mu.Lock()
		n.zone.policy.Update(now, policy.RemoteEstimatesMsg{Host: r.State.Host, Estimates: *r.Learned})
		n.zone.mu.Unlock()
	}
	// The age is taken before the configuration: a configuration read afterwards can only be newer than it says.
	rep := peer.SyncReply{State: n.state(now)}
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	data, version, err := n.config.state.ExportSince(r.State.Version)
	if err != nil {
		return rep, err
	}
	rep.Config, rep.State.Version = data, max(version, rep.State.Version)
	return rep, nil
}
