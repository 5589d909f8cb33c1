// Package settings reads the JSON settings of the programs strictly: an unknown
// field, a wrong type or an impossible value is one error that names the field.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// ExitCode is the exit code of a program whose settings are invalid.
const ExitCode = 2

// Error names the invalid field of a settings file.
type Error struct {
	File    string
	Field   string
	Problem string
}

// Error returns file, field and problem in one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.File + ": " + e.Problem
	}
	return e.File + ": " + e.Field + ": " + e.Problem
}

// checker is implemented by the settings of each program.
type checker interface {
	setDefaults()
	check() *Error
}

func load(path string, target checker) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the settings file
	if err != nil {
		return &Error{File: path, Problem: err.Error()}
	}
	return parse(path, data, target)
}

func parse(name string, data []byte, target checker) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(name, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: name, Problem: "data after the settings object"}
	}
	target.setDefaults()
	if problem := target.check(); problem != nil {
		problem.File = name
		return problem
	}
	return nil
}

func decodeError(name string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &Error{File: name, Field: wrongType.Field, Problem: "must be " + wrongType.Type.String() + ", not " + wrongType.Value}
	}
	return &Error{File: name, Problem: err.Error()}
}

func checkAddress(field, address string) *Error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &Error{Field: field, Problem: "must be IP:port, for example 10.0.0.5:7000"}
	}
	if net.ParseIP(host) == nil {
		return &Error{Field: field, Problem: "host must be an IP number"}
	}
	number, err := strconv.Atoi(port)
	if err != nil || number < 0 || number > 65535 {
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

func checkName(field, value string) *Error {
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
