package node

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/peer"
	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
)

// errNoAnswer is returned for a message whose answer the link does not deliver. The sender cannot tell whether the
// message had an effect.
var errNoAnswer = errors.New("link: no answer")

// linkFaults holds the faults of the connections of one entry host.
type linkFaults struct {
	// Paused stops all I/O of the host, as if its process were stopped. What it sends meanwhile is sent afterwards.
	Paused bool
	// CutLog, CutWorkers, CutPeers and CutHostList cut the host off from the log, the workers, its peers or the host
	// list.
	CutLog, CutWorkers, CutPeers, CutHostList bool
	// WorkerDelay delays messages to workers. They arrive even if the sender has given up. LoseAnswers drops the
	// answers of the workers.
	WorkerDelay time.Duration
	LoseAnswers bool
	// DuplicateCalls delivers each call to a worker twice.
	DuplicateCalls bool
}

// link connects one entry host with the log, the workers, the host list and its peers, and injects faults.
type link struct {
	platform *testPlatform
	done     chan struct{}

	mu      sync.Mutex
	faults  linkFaults
	changed chan struct{}
	dead    bool
	// proxies holds, by the address of a peer, the address at which the host reaches it.
	proxies map[string]string
	closers []func()
}

func newLink(p *testPlatform) *link {
	return &link{platform: p, done: make(chan struct{}), changed: make(chan struct{}), proxies: map[string]string{}}
}

// setFaults changes the faults by calling change under the lock.
func (l *link) setFaults(change func(f *linkFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
	close(l.changed)
	l.changed = make(chan struct{})
}

// kill ends all I/O of the host for good.
func (l *link) kill() {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return
	}
	l.dead = true
	close(l.done)
	closers := l.closers
	l.mu.Unlock()
	for _, c := range closers {
		c()
	}
}

// awaitUnpaused waits while the host is paused and returns the faults that are set afterwards. It takes no context,
// since a stopped process does not notice that a context ends. It returns errNoAnswer after kill.
func (l *link) awaitUnpaused() (linkFaults, error) {
	for {
		l.mu.Lock()
		f, changed := l.faults, l.changed
		l.mu.Unlock()
		select {
		case <-l.done:
			return f, errNoAnswer
		default:
		}
		if !f.Paused {
			return f, nil
		}
		select {
		case <-changed:
		case <-l.done:
			return f, errNoAnswer
		}
	}
}

// awaitCancel waits until the context or the link ends, as if an answer never came, and returns errNoAnswer or an error
// marked as it.
func (l *link) awaitCancel(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "link"), errNoAnswer)
	case <-l.done:
		return errNoAnswer
	}
}

// logLink is the client of the log of one host. It applies the faults of the host's link.
type logLink struct {
	*link
	log feed.Log
}

func (l logLink) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if f, err := l.awaitUnpaused(); err != nil || f.CutLog {
		return 0, l.awaitCancel(ctx)
	}
	o, err := l.log.Append(ctx, stream, data)
	if f, gone := l.awaitUnpaused(); gone != nil || f.CutLog {
		return 0, l.awaitCancel(ctx)
	}
	return o, err
}

func (l logLink) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (logservice.Page, error) {
	if f, err := l.awaitUnpaused(); err != nil || f.CutLog {
		return logservice.Page{}, l.awaitCancel(ctx)
	}
	p, err := l.log.Read(ctx, stream, from, limit, wait)
	if f, gone := l.awaitUnpaused(); gone != nil || f.CutLog {
		return logservice.Page{}, l.awaitCancel(ctx)
	}
	return p, err
}

// hostListLink is the client of the host list of one host. It lists peers at the addresses of the link's proxies.
type hostListLink struct{ *link }

func (l hostListLink) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	if f, err := l.awaitUnpaused(); err != nil || f.CutHostList {
		return nil, l.awaitCancel(ctx)
	}
	hosts, err := l.platform.hosts.Hosts(ctx)
	for i, h := range hosts {
		if h.Kind == hostlist.KindEntry {
			hosts[i].Address = l.proxy(h.Address)
		}
	}
	return hosts, err
}

// proxy returns the address at which this host reaches the peer at the address to. The first call for a peer starts the
// proxy.
func (l *link) proxy(to string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.proxies[to]; a != "" {
		return a
	}
	in, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l.proxies[to] = in.Addr().String()
	l.closers = append(l.closers, func() { in.Close() })
	go func() {
		for {
			c, err := in.Accept()
			if err != nil {
				return
			}
			go l.forward(c, to)
		}
	}()
	return in.Addr().String()
}

// forward copies data between a connection of this host and the peer until either side ends or the host is cut off.
func (l *link) forward(c net.Conn, to string) {
	defer c.Close()
	out, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	end := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader) {
		defer func() { end <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			f, gone := l.awaitUnpaused()
			if err != nil || gone != nil || f.CutPeers {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go pipe(out, c)
	go pipe(c, out)
	select {
	case <-end:
	case <-l.done:
	}
}

// peerLink serves the requests of peers to a host. It applies the faults of the host's link.
type peerLink struct {
	*link
	n *Node
}

// checkPeers waits while the host is paused and returns errNoAnswer if it is cut off from its peers.
func (p peerLink) checkPeers() error {
	f, err := p.awaitUnpaused()
	if err == nil && f.CutPeers {
		err = errNoAnswer
	}
	return err
}

func (p peerLink) Sync(ctx context.Context, r peer.SyncRequest) (peer.SyncReply, error) {
	if err := p.checkPeers(); err != nil {
		return peer.SyncReply{}, err
	}
	rep, err := p.n.Sync(ctx, r)
	return rep, errors.CombineErrors(p.checkPeers(), err)
}

func (p peerLink) PeerRequest(ctx context.Context, r peer.ForwardRequest) (peer.ForwardReply, error) {
	if err := p.checkPeers(); err != nil {
		return peer.ForwardReply{}, err
	}
	rep, err := p.n.PeerRequest(ctx, r)
	return rep, errors.CombineErrors(p.checkPeers(), err)
}

func (p peerLink) PeerJob(ctx context.Context, r peer.JobRequest) (peer.JobReply, error) {
	if err := p.checkPeers(); err != nil {
		return peer.JobReply{}, err
	}
	rep, err := p.n.PeerJob(ctx, r)
	return rep, errors.CombineErrors(p.checkPeers(), err)
}
