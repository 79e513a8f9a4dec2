package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes is the largest number of bytes that an AsyncWriter buffers.
const maxPendingBytes = 256 << 10

// maxAtomicWriteBytes is the largest write that a pipe takes atomically (PIPE_BUF of Linux). Within it, the lines of
// several processes that write to one pipe are not mixed.
const maxAtomicWriteBytes = 4096

// flushTimeout is the longest time that the end of an AsyncWriter waits for its output. It is shorter than the time that
// platform.Run reserves for the exit of the process.
const flushTimeout = 500 * time.Millisecond

// wholeLinesLength returns the length in bytes of the whole lines at the start of data that fit into one atomic write,
// or of the first line if that line alone is longer.
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

// AsyncWriter is an io.Writer that writes in the background, so that a slow output never blocks the callers of Write.
// Lines that do not fit into the buffer are dropped, and a JSON log line reports their number.
type AsyncWriter struct {
	mu           sync.Mutex
	pending      []byte
	droppedLines int
	closed       bool
	wake         chan struct{}
	done         chan struct{}
}

// NewAsyncWriter returns a writer to out and a function that writes the buffered lines and stops the writer. That
// function waits for out up to flushTimeout; the lines that are not written by then are lost.
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
		select {
		case <-a.done:
		case <-time.After(flushTimeout):
		}
	}
}

// Write implements io.Writer. It takes one line per call and never returns an error.
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

// signal wakes the background goroutine without blocking.
func (a *AsyncWriter) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// writePending writes the buffered lines and the number of dropped ones to out. It reports whether the writer was
// closed.
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
		// A failed write is ignored, since the log is the only place to report it.
		_, _ = out.Write(data[:n])
		data = data[n:]
	}
	return closed
}
