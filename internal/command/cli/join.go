package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// joinCmd runs an entry host on the users' platform.
type joinCmd struct {
	Settings string `help:"Settings file of the platform, lines of the form name=value." placeholder:"FILE" env:"SASSAFRASWIND_NODE_FILE" default:"/etc/sassafraswind/node.conf"`
	Level    string `help:"Lowest level of log lines: error, warning, info or debug." default:"info" enum:"error,warning,info,debug"`
}

// Help returns the details of the command.
func (joinCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then stops as planned within the platform's grace period. SIGHUP checks the settings
file again. Log lines are JSON on standard output.

Example:

  SASSAFRASWIND_NODE_FILE=/etc/sassafraswind/node.conf sassafraswind join`
}

// Run runs the entry host.
func (c *joinCmd) Run(s *session) error {
	err := s.funcs.Join(s.ctx, c.Settings, c.Level)
	if err != nil {
		_, _ = fmt.Fprintln(s.errOut, "sassafraswind:", err)
	}
	return errors.Wrap(err, "join")
}
