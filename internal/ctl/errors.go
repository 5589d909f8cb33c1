package ctl

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

// The exit codes of chicoryctl.
const (
	ExitOK = 0
	// ExitError is any failure without a code of its own.
	ExitError = 1
	// ExitUsage is a wrong command line or an invalid settings file.
	ExitUsage = 2
	// ExitConflict means that the section has a newer version.
	ExitConflict = 3
	// ExitRefused means that the API refused the request; nothing was changed.
	ExitRefused = 4
	// ExitUnknown means that a change may or may not have been made.
	ExitUnknown = 5
	// ExitTimeout means that the change was accepted but is not in force
	// everywhere within the timeout.
	ExitTimeout = 6
)

// Error is a failure with the exit code that reports it.
type Error struct {
	Code int
	// Err says what failed.
	Err error
	// Body is the API's answer, if there was one.
	Body *api.ErrorBody
}

// Error returns the message for the operator.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fail(code int, err error) error { return &Error{Code: code, Err: err} }

func usage(format string, args ...any) error {
	return fail(ExitUsage, errors.Errorf(format, args...))
}

// ExitCode returns the exit code for an error of a command. Errors of the command
// line parser have no code of their own and count as ExitUsage.
func ExitCode(err error) int {
	var failure *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &failure):
		return failure.Code
	}
	return ExitUsage
}

// refused turns an answer that ends a command into an error.
func refused(status int, body api.ErrorBody) error {
	message := body.Error
	if body.Field != "" {
		message = body.Field + ": " + message
	}
	failure := &Error{Code: ExitRefused, Err: errors.Errorf("%d %s", status, message), Body: &body}
	switch {
	case body.Reason == api.ReasonConflict && body.Version != nil:
		failure.Code = ExitConflict
	case status == http.StatusNotFound || status >= http.StatusInternalServerError:
		failure.Code = ExitError
	}
	return failure
}

func hasReason(err error, reason string) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Body != nil && failure.Body.Reason == reason
}
