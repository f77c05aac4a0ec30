package classify

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

var origins = map[string]error{
	"notSent":                  &upstr.Error{NotSent: true},
	"refused":                  &upstr.Error{Refused: true},
	"rejected":                 &upstr.Error{Rejected: true},
	"crashed":                  &upstr.Error{Crashed: true},
	"silent":                   &upstr.Error{Silent: true},
	"bareUpstream":             &upstr.Error{Cause: errors.New("status 500")},
	"bareNetwork":              &net.OpError{Op: "read", Err: syscall.ECONNRESET},
	"connectionRefusedUntyped": &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED},
	"deadline":                 &upstr.Error{Cause: context.DeadlineExceeded},
	"canceled":                 context.Canceled,
	"incomplete":               fault.New(fault.MayHaveRun, fault.Incomplete, "answer ended early"),
}

func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	var table []struct {
		Origin  string        `yaml:"origin"`
		Verdict fault.Verdict `yaml:"verdict"`
		Code    fault.Code    `yaml:"code"`
	}
	data, err := os.ReadFile("testdata/verdicts.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(yaml.UnmarshalWithOptions(data, &table, yaml.Strict()), qt.IsNil)
	c.Assert(table, qt.HasLen, len(origins))
	for _, row := range table {
		c.Run(row.Origin, func(c *qt.C) {
			got := Error(origins[row.Origin])
			c.Assert(got.Verdict, qt.Equals, row.Verdict)
			c.Assert(got.Code, qt.Equals, row.Code)
		})
	}
}
