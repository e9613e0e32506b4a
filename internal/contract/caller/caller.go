// Package caller is the contract with callers: headers of a request and the
// three kinds of answer over HTTP.
//
// Usage:
//
//	POST /v1/keys                     -> {"key": "..."}
//	POST /v1/call/<service>/<path>    with HeaderKey -> answer with HeaderOutcome
package caller

import (
	"net/http"

	weir "greengageweir"
)

// The headers of a request.
const (
	// HeaderKey makes a request idempotent; see package ledger for its form.
	HeaderKey = "Idempotency-Key"
	// HeaderClass is urgent (default) or deferrable.
	HeaderClass = "Weir-Class"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Weir-Team"
	// HeaderRepeatable is true for a request that may run more than once.
	HeaderRepeatable = "Weir-Repeatable"
	// HeaderTimeout is a duration such as 800ms after which no answer is needed.
	HeaderTimeout = "Weir-Timeout"
)

// The headers of an answer.
const (
	HeaderOutcome = "Weir-Outcome"
	HeaderReason  = "Weir-Reason"
)

// Paths of the caller's interface.
const (
	PathKeys = "/v1/keys"
	PathCall = "/v1/call/"
)

// KeyResponse is the answer to a request for a key.
type KeyResponse struct {
	Key string `json:"key"`
}

// OutcomeBody is the body of an answer that is not whole.
type OutcomeBody struct {
	Outcome weir.OutcomeKind `json:"outcome"`
	Reason  string           `json:"reason"`
}

// StatusOf returns the HTTP status that carries an answer.
func StatusOf(ans weir.Response) int {
	switch ans.Kind {
	case weir.Complete:
		return ans.Status
	case weir.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
