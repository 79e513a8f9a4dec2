package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// joinCmd runs an entry host on the users' platform.
type joinCmd struct {
	Settings string `help:"Settings file of the platform, lines of the form name=value." placeholder:"FILE" env:"SASSAFRASWIND_NODE_FILE" default:"/etc/sassafraswind/node.conf"`
	Level    string `help:"Lowest level of log lines: error, warning, info or debug." default:"info" enum:"error,warning,info,debug"`
	Metrics  int    `help:"Port of the host's address on which /metrics is served, 0 for none." placeholder:"PORT" default:"0"`
}

// Help returns the details of the command.
func (joinCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then stops as planned within the platform's grace period. SIGHUP checks the settings
file again. Log lines are JSON on standard output.

Example:

  SASSAFRASWIND_NODE_FILE=/etc/sassafraswind/node.conf sassafraswind join`
}

// highestPort is the highest number of a TCP port.
const highestPort = 65535

// Validate checks the values of the flags.
func (c *joinCmd) Validate() error {
	if c.Metrics < 0 || c.Metrics > highestPort {
		return errors.Newf("--metrics: %d is not a port number from 0 to 65535", c.Metrics)
	}
	return nil
}

// Run runs the entry host.
func (c *joinCmd) Run(s *session) error {
	err := s.funcs.Join(s.ctx, c.Settings, c.Level, c.Metrics)
	if err != nil {
		_, _ = fmt.Fprintln(s.errOut, "sassafraswind:", err)
	}
	return errors.Wrap(err, "join")
}
