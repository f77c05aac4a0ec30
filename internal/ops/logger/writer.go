package logger

import (
	"fmt"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
)

// writer implements the log writer of go-zero on the logger of the process. Its info lines are logged at the debug
// level.
type writer struct {
	log *zap.Logger
}

// Alert logs at the error level.
func (w *writer) Alert(v any) { w.log.Error(fmt.Sprint(v)) }

// Close does nothing: the logger of the process stays open.
func (w *writer) Close() error { return nil }

// Debug logs at the debug level.
func (w *writer) Debug(v any, fields ...logx.LogField) {
	w.log.Debug(fmt.Sprint(v), toZap(fields)...)
}

// Error logs at the warn level, since the caller decides whether a failed call is an error.
func (w *writer) Error(v any, fields ...logx.LogField) { w.log.Warn(fmt.Sprint(v), toZap(fields)...) }

// Info logs at the debug level.
func (w *writer) Info(v any, fields ...logx.LogField) { w.log.Debug(fmt.Sprint(v), toZap(fields)...) }

// Severe logs at the error level.
func (w *writer) Severe(v any) { w.log.Error(fmt.Sprint(v)) }

// Slow logs at the info level.
func (w *writer) Slow(v any, fields ...logx.LogField) { w.log.Info(fmt.Sprint(v), toZap(fields)...) }

// Stack logs at the error level.
func (w *writer) Stack(v any) { w.log.Error(fmt.Sprint(v)) }

// Stat logs at the debug level.
func (w *writer) Stat(v any, fields ...logx.LogField) { w.log.Debug(fmt.Sprint(v), toZap(fields)...) }

// toZap converts log fields of go-zero.
func toZap(fields []logx.LogField) []zap.Field {
	out := make([]zap.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, zap.Any(f.Key, f.Value))
	}
	return out
}
