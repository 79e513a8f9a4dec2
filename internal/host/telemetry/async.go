package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxPendingBytes is the number of bytes that may wait to be written.
const maxPendingBytes = 256 << 10

// maxAtomicWriteBytes is the largest write in bytes that a pipe takes as a whole (PIPE_BUF of Linux), so that readers don't see
// a part of a line between the lines of other processes.
const maxAtomicWriteBytes = 4096

// wholeLinesLength returns the length of the lines at the start of data that fit into one write, or of the first line if that
// is longer.
func wholeLinesLength(data []byte) int {
	if len(data) <= maxAtomicWriteBytes {
		return len(data)
	}
	if i := bytes.LastIndexByte(data[:maxAtomicWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1
	}
	return len(data)
}

// AsyncWriter writes in the background. A writer that can't keep up never blocks its callers: what does not fit into
// the buffer is left out and counted in a line of its own.
type AsyncWriter struct {
	mu           sync.Mutex
	pending      []byte
	droppedLines int
	closed       bool
	wake         chan struct{}
	done         chan struct{}
}

// NewAsyncWriter returns a writer to out and a function that writes what is left and stops it.
func NewAsyncWriter(out io.Writer) (*AsyncWriter, func()) {
	a := &AsyncWriter{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for range a.wake {
			if a.writePending(out) {
				return
			}
		}
	}()
	return a, func() {
		a.mu.Lock()
		a.closed = true
		a.mu.Unlock()
		a.signal()
		<-a.done
	}
}

// Write implements io.Writer. It never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	if a.closed || len(a.pending)+len(p) > maxPendingBytes {
		a.droppedLines++
	} else {
		a.pending = append(a.pending, p...)
	}
	a.mu.Unlock()
	a.signal()
	return len(p), nil
}

func (a *AsyncWriter) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// writePending writes what is pending. It reports whether the writer was closed.
func (a *AsyncWriter) writePending(out io.Writer) bool {
	a.mu.Lock()
	data, dropped, closed := a.pending, a.droppedLines, a.closed
	a.pending, a.droppedLines = nil, 0
	a.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"warning\",\"msg\":\"log: lines left out\",\"lines\":%d}\n", dropped)
	}
	for len(data) > 0 {
		n := wholeLinesLength(data)
		// There is nowhere left to report a failure of the log itself.
		_, _ = out.Write(data[:n])
		data = data[n:]
	}
	return closed
}
