package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/platform"
)

// The offsets of the ports from the first one. Entry host N, counted from 0, has hostPorts of them from firstHostPort +
// N x hostPorts on: for callers, for readiness checks, for metrics, and its internal ports.
const (
	controlPort     = 0
	ingressPort     = 1
	firstStorePort  = 10
	firstHostPort   = 100
	hostPorts       = 10
	readyPort       = 1
	metricsPort     = 2
	firstInternal   = 3
	lastInternal    = 9
	maxHosts        = 40
	firstWorkerPort = firstHostPort + maxHosts*hostPorts
)

// errViolations is the error for a run in which a rule was broken.
var errViolations = errors.New("a rule was broken")

// platformCmd is the command that serves the users' platform.
type platformCmd struct {
	Dir     string   `help:"Directory to which the settings files of the entry hosts are written, as entry-1.conf and so on." required:"" type:"existingdir"`
	Listen  string   `help:"IP address of everything." default:"127.0.0.1"`
	Port    int      `help:"First port of the range that is used. It is that of the switches and the report, the next one that of callers." default:"18000"`
	Zones   []string `help:"Availability zones." default:"zone-a,zone-b,zone-c"`
	Workers int      `help:"Workers of each zone at the start." default:"7"`
	Hosts   int      `help:"Entry hosts, spread over the zones." default:"4"`
	Cores   int64    `help:"Cores of a worker." default:"8"`
	Memory  int64    `help:"Memory of a worker in MiB." default:"16000"`
	Limit   int      `help:"Memory limit of an entry host in MiB." default:"256"`
	Seed    uint64   `help:"Seed of all random choices." default:"1"`
}

// Validate checks the flags.
func (c *platformCmd) Validate() error {
	switch {
	case len(c.Zones) == 0:
		return errors.New("there must be a zone")
	case c.Workers < 1:
		return errors.New("a zone must have a worker")
	case c.Hosts < 1 || c.Hosts > maxHosts:
		return errors.Newf("the number of entry hosts must be between 1 and %d", maxHosts)
	}
	return nil
}

// Run serves the platform until the context ends, and then prints the report. It fails if a rule was broken.
func (c *platformCmd) Run(ctx context.Context) error {
	manifest, err := platform.DefaultManifest(1)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	p, closePlatform, err := platform.New(platform.Config{
		Zones: c.Zones, Workers: c.Workers, Capacity: fleet.Size{Cores: c.Cores * 1000, Memory: c.Memory},
		Departure: platform.DefaultDeparture(), IP: c.Listen,
		ControlPort: c.Port + controlPort, IngressPort: c.Port + ingressPort, StorePort: c.Port + firstStorePort,
		WorkerPort: c.Port + firstWorkerPort, Seed: c.Seed, Manifest: manifest,
	}, logrus.StandardLogger())
	if err != nil {
		return err
	}
	defer closePlatform()
	for i := range c.Hosts {
		if err := c.addHost(p, i); err != nil {
			return err
		}
	}
	logrus.Infof("platform: serving callers on %s, switches and report on %s", p.IngressAddress(), p.ControlAddress())
	<-ctx.Done()
	report := p.Report()
	data, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Println(string(data))
	if n := len(report.Violations); n > 0 {
		return errors.Wrapf(errViolations, "%d times", n)
	}
	return nil
}

// addHost adds an entry host, counted from 0, and writes its settings file.
func (c *platformCmd) addHost(p *platform.Platform, i int) error {
	first := c.Port + firstHostPort + i*hostPorts
	s := platform.HostSettings{
		Name: fmt.Sprintf("entry-%d", i+1), Zone: c.Zones[i%len(c.Zones)], IP: c.Listen, CallersPort: first,
		ReadyPort: first + readyPort, FirstPort: first + firstInternal, LastPort: first + lastInternal, MemoryMiB: c.Limit,
	}
	var err error
	if s.StoreAddress, err = p.AddStore(s.Name); err != nil {
		return err
	}
	p.AddHost(s.Name, s.CallersAddress(), s.ReadyAddress())
	err = os.WriteFile(filepath.Join(c.Dir, s.Name+".conf"), []byte(s.File()), 0o600)
	return errors.Wrapf(err, "write settings of %s", s.Name)
}
