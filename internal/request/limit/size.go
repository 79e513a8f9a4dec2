package limit

// Sizes are the bounds of the servers of a process.
type Sizes struct {
	// Callers and Peers bound the servers of callers and of other hosts, Internal each of the others: readiness, metrics and
	// operators.
	Callers, Peers, Internal Size
}

const (
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// internalConns is the number of connections to each of the internal servers, which a few of the platform's own
	// programs use.
	internalConns = 64
	// callerConnBytes and peerConnBytes are the memory that an open connection takes: buffers, goroutines, PrepaidBytes of
	// its request and their share of garbage. A connection of a peer has more goroutines and buffers of its own.
	callerConnBytes = 16 << 10
	peerConnBytes   = 32 << 10
	// minConns is the least number of connections, whatever the memory.
	minConns = 16
)

// The parts of the memory limit that are set aside for open connections and for requests in progress. With the quarter
// for open tasks and 40 to 60 MB for the process itself, the sum stays near the limit above which the garbage collector
// works harder.
const (
	connMemoryShare         = 0.1
	callerBytesShare        = 0.2
	peerBytesShare          = 0.1
	internalBytesShare      = 0.02
	callerDescriptorDivisor = 4
	peerDescriptorDivisor   = 8
)

// softMemoryShare is the share of the memory limit above which the garbage collector works harder. The rest is for the program's
// text, the runtime and peaks between two collections.
const softMemoryShare = 0.7

// SoftMemory returns the soft limit of the garbage collector for a process with a memory limit in bytes.
func SoftMemory(memory int64) int64 { return int64(softMemoryShare * float64(memory)) }

// SizesFor returns the bounds for a process with a memory limit in bytes and a number of descriptors. A quarter of the
// descriptors is for callers and an eighth for peers. Most of the rest is for the connections that the process opens
// itself: a leader has up to four to each worker.
func SizesFor(memory int64, descriptors int) Sizes {
	conns := func(divisor int, bytes int64) int {
		byMemory := int(connMemoryShare * float64(memory) / float64(bytes))
		return max(minConns, min(byMemory, (descriptors-fileDescriptors)/divisor))
	}
	part := func(share float64) int64 { return int64(share * float64(memory)) }
	return Sizes{
		Callers:  Size{Conns: conns(callerDescriptorDivisor, callerConnBytes), Bytes: part(callerBytesShare)},
		Peers:    Size{Conns: conns(peerDescriptorDivisor, peerConnBytes), Bytes: part(peerBytesShare)},
		Internal: Size{Conns: min(internalConns, conns(peerDescriptorDivisor, callerConnBytes)), Bytes: part(internalBytesShare)},
	}
}
