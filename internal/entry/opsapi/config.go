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

// publish publishes a change of the configuration.
func (a *API) publish(r *http.Request, in admin.PublishRequest) (publish.Result, *fault.Error) {
	if in.Author == "" {
		return publish.Result{}, missingField("author")
	}
	var options []publish.Option
	if in.Nonce != "" {
		options = append(options, publish.WithNonce(in.Nonce))
	}
	res, err := a.opts.Publisher.Publish(r.Context(), in.Author, in.Change, options...)
	return a.publishReply("publish", in.Author, res, err)
}

// preset puts a preset in force.
func (a *API) preset(r *http.Request, in admin.PresetRequest) (publish.Result, *fault.Error) {
	if in.Author == "" {
		return publish.Result{}, missingField("author")
	}
	var options []publish.Option
	if in.Base != nil {
		options = append(options, publish.WithBase(*in.Base))
	}
	res, err := a.opts.Publisher.UsePreset(r.Context(), in.Author, in.Name, options...)
	return a.publishReply("preset", in.Author, res, err)
}

// settle determines the outcome of an earlier publish whose answer was lost; see publish.Publisher.Settle.
func (a *API) settle(r *http.Request, in admin.SettleRequest) (publish.Result, *fault.Error) {
	res, err := a.opts.Publisher.Settle(r.Context(), in.Nonce)
	return a.publishReply("settle", "", res, err)
}

// publishReply logs a configuration call and returns its result. A *publish.Error is part of the result; any other
// error fails the call.
func (a *API) publishReply(op, author string, res publish.Result, err error) (publish.Result, *fault.Error) {
	a.opts.Log.Info("configuration call", zap.String("call", op), zap.String("author", author),
		zap.String("state", string(res.State)), zap.String("nonce", res.Nonce),
		zap.Int64("revision", res.Revision), zap.Error(err))
	var known *publish.Error
	if err != nil && !errors.As(err, &known) {
		return res, fault.From(err)
	}
	return res, nil
}

// config returns a snapshot of the configuration in force.
func (a *API) config(*http.Request, noBody) (admin.Config, *fault.Error) {
	if err := a.opts.Feed.Ready(); err != nil {
		return admin.Config{}, fault.New(fault.NotRun, fault.NotReady, "no configuration").WithCause(err)
	}
	s := a.opts.Feed.Current()
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

// missingField returns the error for a call without a required field.
func missingField(field string) *fault.Error {
	return fault.New(fault.NotRun, fault.BadRequest, "field %q is missing", field)
}
