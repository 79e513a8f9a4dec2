//go:build linux

package untrusted

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The ports of a host that runs serve and of its stand-ins, counted from the first one.
const (
	logPort            = 0
	hostListPort       = 1
	serveCallersPort   = 100
	serveOperatorsPort = 101
	servePeersPort     = 103
)

// operatorBodyBytes is the size of a large change, below the limit of 1 MiB.
const operatorBodyBytes = 1_000_000

// startServing starts the stand-ins of the log and of the list of hosts, and one entry host with the command serve, and waits until
// it answers.
func startServing(t *testing.T) *testHost {
	if err := programs(); err != nil {
		t.Fatal(err)
	}
	dir, base := t.TempDir(), freePorts(t)
	standin := filepath.Join(programDir, "standin")
	hosts := fmt.Sprintf(`[{"id":"h","kind":"entry","zone":"z","region":"r","address":%q}]`, address(base+servePeersPort))
	settings := fmt.Sprintf(`{"host":"h","zone":"z","region":"r","callers":{"listen":%q},"operators":{"listen":%q},`+
		`"peers":{"listen":%q},"platform":{"log":"http://%s","hosts":"http://%s"},"drain":"100ms",`+
		`"zones":[{"name":"z","region":"r"}],"limits":{"memory":%d,"descriptors":%d}}`,
		address(base+serveCallersPort), address(base+serveOperatorsPort), address(base+servePeersPort),
		address(base+logPort), address(base+hostListPort), memoryMiB<<20, descriptors)
	h := &testHost{
		t: t, callers: address(base + serveCallersPort), operators: address(base + serveOperatorsPort),
		peers: address(base + servePeersPort), settings: filepath.Join(dir, "h.json"), memory: memoryMiB << 20,
		descriptors: descriptors,
	}
	for path, text := range map[string]string{filepath.Join(dir, "hosts.json"): hosts, h.settings: settings} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	start(t, filepath.Join(dir, "hosts.log"), standin, "hosts", "--listen", address(base+hostListPort), "--file", filepath.Join(dir, "hosts.json"))
	h.platform = start(t, filepath.Join(dir, "log.log"), standin, "log", "--listen", address(base+logPort))
	h.host = start(t, h.settings+".log", filepath.Join(programDir, "sassafraswind"), "serve", "--settings", h.settings)
	h.ordinaryRequest = func() error {
		err := send(http.MethodGet, "http://"+h.operators+"/live", "", http.StatusOK)
		if err == nil {
			err = send(http.MethodGet, "http://"+h.callers+"/v1/jobs/unknown", "", http.StatusNotFound)
		}
		return err
	}
	h.await("the host", h.ordinaryRequest)
	return h
}

// post returns the text of a POST request with a body.
func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// TestServeUnderCrowds guards the servers of serve against crowds: of callers whose bodies stop short, of operators whose changes take
// much more memory than their text once they are parsed, and of peers whose messages do.
func TestServeUnderCrowds(t *testing.T) {
	h := startServing(t)
	body := post("/v1/jobs", `{"body":"`+strings.Repeat("a", operatorBodyBytes)+`"}`)
	numbers := "[" + strings.Repeat("0,", maxNumbers) + "0]"
	message := submission(100_000, strings.Repeat("\xc0", 100_000))
	checkCrowds(h,
		crowd{n: clients, address: callersAddress, behave: func(c *client) error { return c.sendAll(body[:c.bodyEnd(len(body))]) }},
		crowd{n: decodedClients, address: func(h *testHost) string { return h.operators }, behave: sendText(post("/v1/changes", numbers))},
		crowd{n: decodedClients, address: peersAddress, behave: func(c *client) error { return c.call(methodJob, message) }},
		crowd{n: decodedClients, address: peersAddress, behave: func(c *client) error {
			return c.call(methodJob, submission(1<<31, ""))
		}})
}

// maxNumbers is a number of numbers that a change of operators may hold.
const maxNumbers = 130_000

// methodJob is the method of serve that concerns the jobs of another zone.
const methodJob = "/sassafraswind/Job"
