package serve

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Recover returns server options that make a panic in a call fail only that call.
func Recover(log *zap.Logger) []grpc.ServerOption {
	// caught is deferred: it logs a panic in a call and turns it into the error of that call.
	caught := func(method string, err *error) {
		if failed := recover(); failed != nil {
			log.Error("a call of another entry failed", zap.String("method", method), zap.Any("panic", failed),
				zap.Stack("stack"))
			*err = status.Error(codes.Internal, "the call failed")
		}
	}
	return []grpc.ServerOption{
		grpc.ChainStreamInterceptor(func(s any, stream grpc.ServerStream, info *grpc.StreamServerInfo,
			handle grpc.StreamHandler) (err error) {
			defer caught(info.FullMethod, &err)
			return handle(s, stream)
		}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, q any, info *grpc.UnaryServerInfo,
			handle grpc.UnaryHandler) (_ any, err error) {
			defer caught(info.FullMethod, &err)
			return handle(ctx, q)
		}),
	}
}
