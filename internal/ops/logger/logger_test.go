package logger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
)

func TestLibraryLogsAreRouted(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := logger.New(&out, "info")
	logger.RouteLibraries(l)
	defer logx.Reset()
	logx.WithContext(context.Background()).Errorf("call of %s failed", "x")
	logx.Info("of no interest")
	l.Info("decision", zap.String("chosenUpstream", "a"))

	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	c.Assert(lines, qt.HasLen, 2)
	var library, own map[string]any
	c.Assert(json.Unmarshal(lines[0], &library), qt.IsNil)
	c.Assert(library["logger"], qt.Equals, "goZero")
	c.Assert(library["message"], qt.Equals, "call of x failed")
	c.Assert(library["level"], qt.Equals, "warn")
	c.Assert(json.Unmarshal(lines[1], &own), qt.IsNil)
	c.Assert(own["chosenUpstream"], qt.Equals, "a")
	c.Assert(own["time"], qt.IsNotNil)
}

func TestServerKeepsLibraryLogsRouted(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger.RouteLibraries(logger.New(&out, "info"))
	defer logx.Reset()
	_, err := rest.NewServer(rest.RestConf{ServiceConf: service.ServiceConf{Log: logx.LogConf{Mode: "console"}}})
	c.Assert(err, qt.IsNil)
	logx.Error("after the server")
	c.Assert(out.String(), qt.Contains, "after the server")
}
