// Package settings reads and validates the JSON settings files of the programs. An
// unknown field, a wrong type or an invalid value is an error that names the field.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/strictjson"
)

// ExitCode is the exit code of a program whose settings are invalid.
const ExitCode = 2

// Error describes a settings file that cannot be read or is invalid. Field is empty when
// no single field is at fault.
type Error struct {
	File    string
	Field   string
	Problem string
}

// Error returns the file, the field and the problem in one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.File + ": " + e.Problem
	}
	return e.File + ": " + e.Field + ": " + e.Problem
}

// programSettings is implemented by the settings type of each program.
type programSettings interface {
	setDefaults()
	check() *Error
}

func load(path string, target programSettings) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the settings file
	if err != nil {
		return &Error{File: path, Problem: err.Error()}
	}
	return parse(path, data, target)
}

func parse(name string, data []byte, target programSettings) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(name, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: name, Problem: "data after the settings object"}
	}
	if err := strictjson.Check(data); err != nil {
		return &Error{File: name, Problem: err.Error()}
	}
	target.setDefaults()
	if problem := target.check(); problem != nil {
		problem.File = name
		return problem
	}
	return nil
}

func decodeError(name string, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &Error{File: name, Field: typeError.Field, Problem: "must be " + typeError.Type.String() + ", not " + typeError.Value}
	}
	return &Error{File: name, Problem: err.Error()}
}

func checkAddress(field, address string) *Error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &Error{Field: field, Problem: "must be IP:port, for example 10.0.0.5:7000"}
	}
	if net.ParseIP(host) == nil {
		return &Error{Field: field, Problem: "host must be an IP address"}
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil || portNumber < 0 || portNumber > 65535 {
		return &Error{Field: field, Problem: "port must be between 0 and 65535"}
	}
	return nil
}

func checkAddresses(field string, addresses []string) *Error {
	if len(addresses) == 0 {
		return &Error{Field: field, Problem: "must name at least one address"}
	}
	for i, address := range addresses {
		if problem := checkAddress(field+"["+strconv.Itoa(i)+"]", address); problem != nil {
			return problem
		}
	}
	return nil
}

func checkNotEmpty(field, value string) *Error {
	if value == "" {
		return &Error{Field: field, Problem: "must not be empty"}
	}
	return nil
}

func firstProblem(problems ...*Error) *Error {
	for _, problem := range problems {
		if problem != nil {
			return problem
		}
	}
	return nil
}
