package front

import (
	"net/http"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// statusClientClosed is the customary status, from nginx, for a client that closed its connection.
const statusClientClosed = 499

var statusByCode = map[fault.Code]int{
	fault.BadRequest:   http.StatusBadRequest,
	fault.Unauthorized: http.StatusUnauthorized,
	fault.Forbidden:    http.StatusForbidden,
	fault.NotFound:     http.StatusNotFound,
	fault.SlowBody:     http.StatusRequestTimeout,
	fault.Conflict:     http.StatusConflict,
	fault.InProgress:   http.StatusConflict,
	fault.TooLarge:     http.StatusRequestEntityTooLarge,
	fault.KeyReused:    http.StatusUnprocessableEntity,
	fault.KeyExpired:   http.StatusUnprocessableEntity,
	fault.Quarantined:  http.StatusUnprocessableEntity,
	fault.OverLimit:    http.StatusTooManyRequests,
	fault.Overloaded:   http.StatusServiceUnavailable,
	fault.Draining:     http.StatusServiceUnavailable,
	fault.NotReady:     http.StatusServiceUnavailable,
	fault.NoUpstream:   http.StatusServiceUnavailable,
	fault.LogDown:      http.StatusServiceUnavailable,
	fault.TooLate:      http.StatusServiceUnavailable,
	fault.Tombstoned:   http.StatusServiceUnavailable,
	fault.WrongTarget:  http.StatusServiceUnavailable,
	fault.Deadline:     http.StatusGatewayTimeout,
	fault.Canceled:     statusClientClosed,
	fault.Crashed:      http.StatusBadGateway,
	fault.Silent:       http.StatusBadGateway,
	fault.Transport:    http.StatusBadGateway,
	fault.Malformed:    http.StatusBadGateway,
	fault.Incomplete:   http.StatusBadGateway,
	fault.Upstream:     http.StatusBadGateway,
}

// status returns the HTTP status of a code, by default 500.
func status(c fault.Code) int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}
