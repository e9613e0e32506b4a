// Package access checks who calls: operators by bearer token, each with a
// name, from a token file with lines of "name token".
//
// Usage:
//
//	ops, err := access.Load("operators.tokens")
//	ech.Use(ops.Middleware)
//	name := access.Operator(ctx)
package auth

import (
	"crypto/subtle"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"greengageweir/internal/duty/errkind"

	"github.com/labstack/echo/v4"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindRead  Kind = "cannot read token file"
	KindShort Kind = "a token needs at least 16 characters"
	KindEmpty Kind = "token file is empty"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	minTokenLength = 16
	operatorKey    = "operator"
	bearer         = "Bearer "
)

// Operators are the operators' names and tokens.
type Operators struct {
	tokens map[string]string
}

// Load reads a token file. Empty lines and lines with # are skipped.
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
			return nil, &Error{Op: "load " + path + ": operator " + name, Kind: KindShort}
		}
		op.tokens[name] = token
	}
	if len(op.tokens) == 0 {
		return nil, &Error{Op: "load " + path, Kind: KindEmpty}
	}
	return op, nil
}

// LoadToken reads a file that holds one token.
func LoadToken(path string) (string, error) {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", &Error{Op: "load " + path, Kind: KindRead, Err: err}
	}
	token := strings.TrimSpace(string(body))
	if len(token) < minTokenLength {
		return "", &Error{Op: "load " + path, Kind: KindShort}
	}
	return token, nil
}

// name returns the operator with a token. All tokens are compared, so that
// the time taken tells nothing.
func (op *Operators) name(token string) string {
	found := ""
	for name, want := range op.tokens {
		if subtle.ConstantTimeCompare([]byte(token), []byte(want)) == 1 {
			found = name
		}
	}
	return found
}

// Middleware refuses requests without a known token.
func (op *Operators) Middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		token, ok := strings.CutPrefix(ctx.Request().Header.Get(echo.HeaderAuthorization), bearer)
		name := op.name(token)
		if !ok || name == "" {
			return echo.NewHTTPError(http.StatusUnauthorized, "an operator's token is needed")
		}
		ctx.Set(operatorKey, name)
		return next(ctx)
	}
}

// Operator returns the name of the operator who calls.
func Operator(ctx echo.Context) string {
	name, _ := ctx.Get(operatorKey).(string)
	return name
}
