package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run, written to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

// ms returns the time since the start of the run in milliseconds.
func (r *record) ms() int64 { return time.Since(r.begun).Milliseconds() }

// add writes a line with the time since the start of the run.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
