package ctl

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

// The exit codes of chicoryctl.
const (
	ExitOK = 0
	// ExitError reports any failure that has no exit code of its own.
	ExitError = 1
	// ExitUsage reports a wrong command line or an invalid settings file.
	ExitUsage = 2
	// ExitConflict reports that the section has a newer version, or that another rollout of
	// the service is running.
	ExitConflict = 3
	// ExitRefused reports that the API refused the request; nothing was changed.
	ExitRefused = 4
	// ExitUnknown reports that a change may or may not have been made.
	ExitUnknown = 5
	// ExitTimeout reports that the change was accepted but was not in force at every
	// node within the timeout.
	ExitTimeout = 6
)

// Error is an error with the exit code of the process.
type Error struct {
	Code int
	// Err is the cause and the message for the operator.
	Err error
	// Body is the error response of the API; nil for an error of another kind.
	Body *api.ErrorBody
}

// Error returns the message for the operator.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func withExitCode(code int, err error) error { return &Error{Code: code, Err: err} }

func usageErrorf(format string, args ...any) error {
	return withExitCode(ExitUsage, errors.Errorf(format, args...))
}

// ExitCode returns the exit code for an error of a command. Errors without an exit
// code, such as those of the command-line parser, count as ExitUsage.
func ExitCode(err error) int {
	var exitErr *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.Code
	}
	return ExitUsage
}

// responseError returns the error for an API response other than 200.
func responseError(status int, body api.ErrorBody) error {
	message := body.Error
	if body.Field != "" {
		message = body.Field + ": " + message
	}
	exitErr := &Error{Code: ExitRefused, Err: errors.Errorf("API returned status %d: %s", status, message), Body: &body}
	switch {
	case body.Reason == api.ReasonConflict && body.Version != nil:
		exitErr.Code = ExitConflict
	case status == http.StatusNotFound || status >= http.StatusInternalServerError:
		exitErr.Code = ExitError
	}
	return exitErr
}

// hasReason reports whether err is an error response of the API with the reason.
func hasReason(err error, reason string) bool {
	var apiErr *Error
	return errors.As(err, &apiErr) && apiErr.Body != nil && apiErr.Body.Reason == reason
}
