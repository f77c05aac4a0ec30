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

// New returns a logger that writes JSON lines to w; an unknown level means info.
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

// RouteLibraries routes the logs of go-zero, gRPC and OpenTelemetry to l. It must be called before the first server is
// created.
func RouteLibraries(l *zap.Logger) {
	// Only the first SetUp takes effect. Without this one, that of a server would replace the writer by the console.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Level: "info"}); err != nil {
		l.Warn("the HTTP library's log can't be set up", zap.Error(err))
	}
	logx.SetWriter(&writer{log: l.Named("goZero")})
	logx.DisableStat()
	// Below the warn level, the logs of gRPC matter only for debugging.
	quiet := l.Named("grpc").WithOptions(zap.IncreaseLevel(zapcore.WarnLevel))
	grpclog.SetLoggerV2(zapgrpc.NewLogger(quiet))
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		l.Named("otel").Warn("metrics failed", zap.Error(err))
	}))
}
