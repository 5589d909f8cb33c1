package settings

import (
	"net"
	"strconv"

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

func checkNotNegative(field string, value int) *Error {
	if value < 0 {
		return &Error{Field: field, Problem: "must not be negative"}
	}
	return nil
}

// withPorts replaces the port of each address unless port is 0. Malformed addresses stay
// unchanged and are reported by checkAddresses.
func withPorts(addresses []string, port int) []string {
	if port == 0 {
		return addresses
	}
	replaced := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			address = net.JoinHostPort(host, strconv.Itoa(port))
		}
		replaced = append(replaced, address)
	}
	return replaced
}

// checkTLS accepts either all three file names or none.
func checkTLS(cert, key, ca string) *Error {
	fields := []struct{ name, value string }{{"tls_cert", cert}, {"tls_key", key}, {"tls_ca", ca}}
	for _, field := range fields {
		if field.value == "" && cert+key+ca != "" {
			return &Error{Field: field.name, Problem: "must be set with the other tls_ fields"}
		}
	}
	return nil
}

// checkQuotaBound checks the bound on the requests of an organisation.
func checkQuotaBound(window, overage, slack float64) *Error {
	fields := []struct {
		name  string
		value float64
	}{{"quota_window_s", window}, {"quota_overage", overage}, {"quota_slack", slack}}
	for _, field := range fields {
		if field.value < 0 {
			return &Error{Field: field.name, Problem: "must not be negative"}
		}
	}
	return nil
}
