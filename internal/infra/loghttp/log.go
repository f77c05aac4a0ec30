package loghttp

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
)

// Log is the log service at one address.
type Log struct {
	client *client.Client
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the answer to an append: the offset of the first record.
type AppendReply struct {
	First *int64 `json:"first"`
}

var _ logs.Service = (*Log)(nil)

// New returns the log service at an IP:port address.
func New(address string) *Log { return &Log{client: client.New(address)} }

// Append adds records to a stream.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	var reply AppendReply
	err := l.client.Post(ctx, Path(stream), AppendRequest{Records: records}, &reply)
	if err == nil && reply.First == nil {
		err = &client.Error{Sent: true, Cause: errors.New(`malformed answer: field "first" is missing`)}
	}
	if err != nil {
		return 0, &logs.Error{Op: "append", Stream: stream, MayHaveAppended: mayHaveAppended(err), Cause: err}
	}
	return *reply.First, nil
}

// Read returns part of a stream.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int) (logs.Batch, error) {
	var batch logs.Batch
	path := fmt.Sprintf("%s?from=%d&limit=%d", Path(stream), from, limit)
	if err := l.client.Get(ctx, path, &batch); err != nil {
		return logs.Batch{}, &logs.Error{Op: "read", Stream: stream, Cause: err}
	}
	return batch, nil
}

// Path is the URL path of a stream.
func Path(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }

// mayHaveAppended reports whether an append that failed with err may have taken effect or may still do so.
func mayHaveAppended(err error) bool {
	var e *client.Error
	if errors.As(err, &e) && e.Problem.Code == client.NotTaken {
		return false
	}
	return client.IsSent(err)
}
