package settings

import (
	"net"

	"github.com/go-kit/log/level"
)

func checkLoopback(field, address string) *Error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &Error{Field: field, Problem: "must be IP:port"}
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &Error{Field: field, Problem: "must be a loopback address"}
	}
	return nil
}

func checkLogLevel(value string) *Error {
	if _, err := level.Parse(value); err != nil {
		return &Error{Field: "log_level", Problem: "must be debug, info, warn or error"}
	}
	return nil
}

func checkPositive(field string, value int) *Error {
	if value < 1 {
		return &Error{Field: field, Problem: "must be at least 1"}
	}
	return nil
}

// checkTLS accepts either all files or none.
func checkTLS(cert, key, ca string) *Error {
	fields := []struct{ name, value string }{{"tls_cert", cert}, {"tls_key", key}, {"tls_ca", ca}}
	for _, field := range fields {
		if field.value == "" && cert+key+ca != "" {
			return &Error{Field: field.name, Problem: "must be set with the other tls_ fields"}
		}
	}
	return nil
}
