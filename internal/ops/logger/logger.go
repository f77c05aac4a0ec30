package logger

import (
	"io"

	"github.com/zeromicro/go-zero/core/logx"
	"go.opentelemetry.io/otel"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zapgrpc"
	"google.golang.org/grpc/grpclog"
)

// New returns a logger of JSON lines with camelCase fields; an unknown level means info.
func New(w io.Writer, level string) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	config := zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "logger",
		MessageKey:     "message",
		StacktraceKey:  "stack",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.MillisDurationEncoder,
	}
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, parsed))
}

// RouteLibraries sends the logs of go-zero, grpc and OpenTelemetry to l; call it before the first server is made.
func RouteLibraries(l *zap.Logger) {
	// Only the first SetUp counts: a server's own would put the console's writer in place of ours.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Level: "info"}); err != nil {
		l.Warn("the HTTP library's log can't be set up", zap.Error(err))
	}
	logx.SetWriter(&writer{log: l.Named("goZero")})
	logx.DisableStat()
	// The library's information is of interest only when something is debugged.
	quiet := l.Named("grpc").WithOptions(zap.IncreaseLevel(zapcore.WarnLevel))
	grpclog.SetLoggerV2(zapgrpc.NewLogger(quiet))
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		l.Named("otel").Warn("metrics failed", zap.Error(err))
	}))
}
