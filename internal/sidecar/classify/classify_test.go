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

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

var origins = map[string]error{
	"notSent":                  &upstream.Error{NotSent: true},
	"refused":                  &upstream.Error{Refused: true},
	"rejected":                 &upstream.Error{Rejected: true},
	"crashed":                  &upstream.Error{Crashed: true},
	"silent":                   &upstream.Error{Silent: true},
	"bareUpstream":             &upstream.Error{Cause: errors.New("status 500")},
	"bareNetwork":              &net.OpError{Op: "read", Err: syscall.ECONNRESET},
	"connectionRefusedUntyped": &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED},
	"deadline":                 &upstream.Error{Cause: context.DeadlineExceeded},
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
