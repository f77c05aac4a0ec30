package opsapi

import (
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/state/snap"
)

func (a *API) publish(r *http.Request, in admin.PublishRequest) (publish.Result, *fault.Error) {
	if in.Author == "" {
		return publish.Result{}, missing("author")
	}
	var opts []publish.Option
	if in.Nonce != "" {
		opts = append(opts, publish.WithNonce(in.Nonce))
	}
	res, err := a.o.Publisher.Publish(r.Context(), in.Author, in.Change, opts...)
	return a.published("publish", in.Author, res, err)
}

func (a *API) preset(r *http.Request, in admin.PresetRequest) (publish.Result, *fault.Error) {
	if in.Author == "" {
		return publish.Result{}, missing("author")
	}
	var opts []publish.Option
	if in.Base != nil {
		opts = append(opts, publish.WithBase(*in.Base))
	}
	res, err := a.o.Publisher.UsePreset(r.Context(), in.Author, in.Name, opts...)
	return a.published("preset", in.Author, res, err)
}

func (a *API) settle(r *http.Request, in admin.SettleRequest) (publish.Result, *fault.Error) {
	res, err := a.o.Publisher.Settle(r.Context(), in.Nonce)
	return a.published("settle", "", res, err)
}

// published answers with the result whatever it is; only an error without one is a refusal.
func (a *API) published(op, author string, res publish.Result, err error) (publish.Result, *fault.Error) {
	a.o.Log.Info("configuration call", zap.String("call", op), zap.String("author", author),
		zap.String("state", string(res.State)), zap.String("nonce", res.Nonce),
		zap.Int64("revision", res.Revision), zap.Error(err))
	var known *publish.Error
	if err != nil && !errors.As(err, &known) {
		return res, fault.From(err)
	}
	return res, nil
}

func (a *API) config(*http.Request, nothing) (admin.Config, *fault.Error) {
	if err := a.o.Feed.Ready(); err != nil {
		return admin.Config{}, fault.New(fault.NotRun, fault.NotReady, "no configuration").WithCause(err)
	}
	s := a.o.Feed.Current()
	data, err := snap.Encode(s)
	if err != nil {
		return admin.Config{}, fault.New(fault.NotRun, fault.Internal, "the configuration can't be encoded").WithCause(err)
	}
	return admin.Config{
		Revision: s.Revision(),
		Offset:   s.Offset(),
		Digest:   s.Digest(),
		InForce:  s.PresetInForce().Name,
		Snapshot: data,
	}, nil
}

func missing(field string) *fault.Error {
	return fault.New(fault.NotRun, fault.BadRequest, "field %q is missing", field)
}
