//go:build linux

package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// decodedClients is the size of the crowds whose requests arrive as a whole and take much more memory once they are decoded.
const decodedClients = 100

// TestManySmallSteps guards against clients that fill the memory with bodies of legal size whose short elements take a hundred
// times their length once they are decoded.
func TestManySmallSteps(t *testing.T) {
	body := listBody(`{"Spec":"","Steps":[`, `{}`, `]}`)
	checkCrowd(t, decodedClients, submitOnce(body))
}

// TestManyNumbersForSteps guards against the same with elements of the wrong type.
func TestManyNumbersForSteps(t *testing.T) {
	body := listBody(`{"Spec":"","Steps":[`, `0`, `]}`)
	checkCrowd(t, decodedClients, submitOnce(body))
}

// TestLongDependencyLists guards against clients that fill the memory with long lists of numbers, which jobs keep.
func TestLongDependencyLists(t *testing.T) {
	body := listBody(`{"Spec":"","Steps":[{"Count":1},{"Count":1,"DependsOn":[`, `0`, `]}]}`)
	checkCrowd(t, clients, submitOnce(body))
}

// submitOnce returns the behavior of clients that submit one job each.
func submitOnce(body string) func(c *client) error {
	return func(c *client) error {
		_, err := c.submit(fmt.Sprintf("b%04d", c.n), body)
		return err
	}
}

// listBody returns a body of bodyBytes bytes with a list of equal elements.
func listBody(begin, element, end string) string {
	n := (bodyBytes - len(begin) - len(end) - len(element)) / (len(element) + 1)
	return begin + strings.Repeat(element+",", n) + element + end
}

// jobID returns a well-formed ID that begins with the digits.
func jobID(digits string) string { return digits + strings.Repeat("0", 16-len(digits)) }

// submit submits a job whose ID begins with the digits, and returns the status of the answer.
func (c *client) submit(digits, body string) (int, error) {
	return c.exchange(fmt.Sprintf("POST /batch/%s HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 30000\r\nContent-Length: %d\r\n\r\n%s",
		jobID(digits), len(body), body))
}

// exchange sends a request, reads the answer and returns its status.
func (c *client) exchange(request string) (int, error) {
	if err := c.sendAll(request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
