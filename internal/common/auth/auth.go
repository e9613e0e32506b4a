// Package auth authenticates operators by bearer token. The names and tokens come
// from a file with lines of the form "name token".
//
// Usage:
//
//	ops, err := auth.Load("operators.tokens")
//	ech.Use(ops.Middleware)
//	name := auth.Operator(ctx)
package auth

import (
	"crypto/subtle"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"greengageweir/internal/common/errkind"

	"github.com/labstack/echo/v4"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	KindRead          Kind = "cannot read token file"
	KindTokenTooShort Kind = "a token needs at least 16 characters"
	KindEmpty         Kind = "token or key file is empty"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	minTokenLength = 16
	operatorKey    = "operator"
	bearerPrefix   = "Bearer "
)

// Operators is the set of operators that may call.
type Operators struct {
	// tokens maps operators' names to their tokens.
	tokens map[string]string
}

// Load reads a token file. It skips empty lines and lines that start with #.
func Load(path string) (*Operators, error) {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return nil, &Error{Op: "load " + path, Kind: KindRead, Err: err}
	}
	op := &Operators{tokens: map[string]string{}}
	for _, line := range strings.Split(string(body), "\n") {
		name, token, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		token = strings.TrimSpace(token)
		if len(token) < minTokenLength {
			return nil, &Error{Op: "load " + path + ": operator " + name, Kind: KindTokenTooShort}
		}
		op.tokens[name] = token
	}
	if len(op.tokens) == 0 {
		return nil, &Error{Op: "load " + path, Kind: KindEmpty}
	}
	return op, nil
}

// LoadToken reads a file that holds a single token.
func LoadToken(path string) (string, error) {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", &Error{Op: "load " + path, Kind: KindRead, Err: err}
	}
	token := strings.TrimSpace(string(body))
	if len(token) < minTokenLength {
		return "", &Error{Op: "load " + path, Kind: KindTokenTooShort}
	}
	return token, nil
}

// lookup returns the name of the operator with the token, "" if there is none. It
// compares all tokens in constant time, so that the timing reveals nothing about
// them.
func (op *Operators) lookup(token string) string {
	found := ""
	for name, want := range op.tokens {
		if subtle.ConstantTimeCompare([]byte(token), []byte(want)) == 1 {
			found = name
		}
	}
	return found
}

// Middleware responds with 401 to requests without a known bearer token.
func (op *Operators) Middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		token, ok := strings.CutPrefix(ctx.Request().Header.Get(echo.HeaderAuthorization), bearerPrefix)
		name := op.lookup(token)
		if !ok || name == "" {
			return echo.NewHTTPError(http.StatusUnauthorized, "an operator's token is needed")
		}
		ctx.Set(operatorKey, name)
		return next(ctx)
	}
}

// Operator returns the name of the authenticated operator, "" without Middleware.
func Operator(ctx echo.Context) string {
	name, _ := ctx.Get(operatorKey).(string)
	return name
}
