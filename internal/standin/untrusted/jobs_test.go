//go:build linux

package untrusted

import (
	"fmt"
	"strings"
	"testing"
)

// jobsPerClient is the number of jobs that each client submits in turn.
const jobsPerClient = 25

// largeJob is a job of one task with a large payload. Each task takes a whole worker, so that nearly all jobs stay open.
var largeJob = `{"Spec":"` + strings.Repeat("a", 60_000) + `","Steps":[{"Count":1,"Cpu":8000,"EstimatedMs":600000}]}`

// TestLargeJobs guards against clients that fill the memory with accepted jobs of few tasks and a large specification.
func TestLargeJobs(t *testing.T) {
	checkCrowd(t, decodedClients, func(c *client) error {
		for i := range jobsPerClient {
			if _, err := c.submit(fmt.Sprintf("d%02d%03d", i, c.n), largeJob); err != nil {
				return err
			}
		}
		return nil
	})
}

// TestCancelledLargeJobs guards against the same with jobs that are cancelled at once, whose state is kept for a while.
func TestCancelledLargeJobs(t *testing.T) {
	checkCrowd(t, decodedClients, func(c *client) error {
		for i := range jobsPerClient {
			id := fmt.Sprintf("e%02d%03d", i, c.n)
			if _, err := c.submit(id, largeJob); err != nil {
				return err
			}
			if _, err := c.exchange("DELETE /batch/" + jobID(id) + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n"); err != nil {
				return err
			}
		}
		return nil
	})
}
